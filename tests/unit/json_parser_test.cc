// JSON from other programs: malformed and deeply nested documents.

#include <boost/test/unit_test.hpp>

#include "net/endpoint.h"
#include "net/json_parser.h"

namespace comfreyfold {
namespace {

std::string Nested(int depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

BOOST_AUTO_TEST_SUITE(json_parser)

// Copying or printing a value needs stack space for each level.
BOOST_AUTO_TEST_CASE(deep_nesting_is_refused) {
  bool too_deep = true;
  BOOST_TEST(ParseJson(R"({"a":[1,{"b":2}]})", &too_deep)["a"][1]["b"] == 2);
  BOOST_TEST(!too_deep);
  BOOST_TEST(ParseJson(Nested(kMaxJsonDepth), &too_deep).is_array());
  BOOST_TEST(!too_deep);
  for (const auto& text : {Nested(kMaxJsonDepth + 2), Nested(1000000),
                           R"({"a":1,"b":)" + Nested(100000) + R"(,"c":2})"}) {
    BOOST_TEST(ParseJson(text, &too_deep).is_discarded());
    BOOST_TEST(too_deep);
  }
}

BOOST_AUTO_TEST_CASE(malformed_text_is_refused) {
  for (const auto* it : {"", "{", "[1,]", "\xff", "1e400", "{\"a\":1e400}"}) {
    bool too_deep = true;
    BOOST_TEST(ParseJson(it, &too_deep).is_discarded());
    BOOST_TEST(!too_deep);
  }
}

BOOST_AUTO_TEST_CASE(port_out_of_range_is_refused) {
  BOOST_TEST(ParseEndpoint("127.0.0.1:65535")->port == 65535);
  for (const auto* it : {"127.0.0.1:65536", "127.0.0.1:", "127.0.0.1",
                         "127.0.0.1:8x", "127.0.0.1:+8", "x:8", ":8", ""}) {
    BOOST_TEST(!ParseEndpoint(it).has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
