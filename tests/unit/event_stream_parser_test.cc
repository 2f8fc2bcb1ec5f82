#include <vector>

#include <boost/test/unit_test.hpp>

#include "core/event_stream_parser.h"

namespace comfreyfold {
namespace {

BOOST_AUTO_TEST_SUITE(event_stream_parser)

BOOST_AUTO_TEST_CASE(events_are_whole_however_the_bytes_arrive) {
  const std::string bytes =
      "id: 1\ndata: one\n\nversion: 2\nid:2\r\ndata: "
      "two\r\ndata:more\r\n\r\nid";
  for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
    EventStreamParser stream;
    std::vector<std::string> ids;
    std::vector<std::string> data;
    std::string passed;
    for (std::size_t n = 0; n < bytes.size(); n += piece) {
      stream.Feed(std::string_view(bytes).substr(n, piece),
                  [&](const StreamEvent& event) {
                    ids.push_back(event.id);
                    data.push_back(event.data);
                    passed += event.bytes;
                  });
    }
    BOOST_TEST(ids == (std::vector<std::string>{"1", "2"}),
               boost::test_tools::per_element());
    BOOST_TEST(data == (std::vector<std::string>{"one", "two\nmore"}),
               boost::test_tools::per_element());
    BOOST_TEST(passed + stream.rest() == bytes);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
