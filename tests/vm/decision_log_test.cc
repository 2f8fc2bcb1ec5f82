// Log lines on a pipe that is read slowly.

#include <limits.h>
#include <unistd.h>

#include <string>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "fleet/decision_log.h"

namespace comfreyfold {
namespace {

// Returns what `write` writes to standard output, up to the size of a pipe.
template <typename Write>
std::string OutputOf(const Write& write) {
  int ends[2];
  BOOST_REQUIRE(::pipe(ends) == 0);
  const int stdout_before = ::dup(STDOUT_FILENO);
  ::dup2(ends[1], STDOUT_FILENO);
  ::close(ends[1]);
  write();
  ::dup2(stdout_before, STDOUT_FILENO);
  ::close(stdout_before);
  std::string out;
  char buf[PIPE_BUF];
  for (ssize_t n = 0; (n = ::read(ends[0], buf, sizeof buf)) > 0;) {
    out.append(buf, static_cast<std::size_t>(n));
  }
  ::close(ends[0]);
  return out;
}

BOOST_AUTO_TEST_SUITE(decision_log)

// A pipe takes up to PIPE_BUF bytes whole when it is writable. A longer line
// waited for its reader, and with it the whole daemon.
BOOST_AUTO_TEST_CASE(line_with_long_texts_fits_a_writable_pipe) {
  DecisionLog log("front-1");
  const std::string text(PIPE_BUF, 'x');
  const auto line = OutputOf([&] {
    log.Write("request", text,
              {{"program", text}, {"reason", text}, {"took_ms", 5}});
  });
  BOOST_TEST(line.size() <= static_cast<std::size_t>(PIPE_BUF));
  const auto parsed = nlohmann::json::parse(line, nullptr, false);
  BOOST_REQUIRE(parsed.is_object());
  BOOST_TEST(parsed["event"] == "request");
  BOOST_TEST(parsed["took_ms"] == 5);
  BOOST_TEST(parsed["program"].get<std::string>().find("xxx") == 0U);
  BOOST_TEST(log.dropped() == 0);
}

// Each byte becomes six.
BOOST_AUTO_TEST_CASE(line_that_is_too_long_when_escaped_is_dropped) {
  DecisionLog log("front-1");
  const std::string text(PIPE_BUF, '\x01');
  const auto line = OutputOf([&] {
    log.Write("request", text, {{"program", text}});
    log.Write("stop", "", {});
  });
  BOOST_TEST(log.dropped() == 1);
  const auto parsed = nlohmann::json::parse(line, nullptr, false);
  BOOST_REQUIRE(parsed.is_object());
  BOOST_TEST(parsed["event"] == "stop");
  BOOST_TEST(parsed["lines_dropped"] == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
