#include <vector>

#include <boost/test/unit_test.hpp>

#include "core/event_stream_parser.h"

namespace comfreyfold {
namespace {

BOOST_AUTO_TEST_SUITE(event_stream_parser)

BOOST_AUTO_TEST_CASE(events_are_complete_for_every_chunk_size) {
  const std::string bytes =
      "id: 1\ndata: one\n\nversion: 2\nid:2\r\ndata: "
      "two\r\ndata:more\r\n\r\nid";
  for (std::size_t chunk_size = 1; chunk_size <= bytes.size(); ++chunk_size) {
    EventStreamParser parser;
    std::vector<std::string> ids;
    std::vector<std::string> data;
    std::string received;
    for (std::size_t n = 0; n < bytes.size(); n += chunk_size) {
      parser.Feed(std::string_view(bytes).substr(n, chunk_size),
                  [&](const StreamEvent& event) {
                    ids.push_back(event.id);
                    data.push_back(event.data);
                    received += event.bytes;
                  });
    }
    BOOST_TEST(ids == (std::vector<std::string>{"1", "2"}),
               boost::test_tools::per_element());
    BOOST_TEST(data == (std::vector<std::string>{"one", "two\nmore"}),
               boost::test_tools::per_element());
    BOOST_TEST(received + parser.rest() == bytes);
  }
}

BOOST_AUTO_TEST_CASE(rest_is_inside_event_unless_it_holds_only_comments) {
  const auto is_inside = [](std::string_view bytes) {
    EventStreamParser parser;
    parser.Feed(bytes, [](const StreamEvent&) {});
    return parser.InsideEvent();
  };
  BOOST_TEST(!is_inside(""));
  BOOST_TEST(!is_inside("data: one\n\n"));
  BOOST_TEST(!is_inside("data: one\n\n: comment\n:\n"));
  BOOST_TEST(is_inside("data: one\n\ni"));
  BOOST_TEST(is_inside("data: one\n\nid: 2\ndata: two\n"));
  BOOST_TEST(is_inside("data: one\n\n: comment\nid: 2\n"));
  BOOST_TEST(is_inside("data: one\n\n: comm"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
