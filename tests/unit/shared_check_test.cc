#include "server/shared_check.h"

#include <stdexcept>

#include <boost/test/unit_test.hpp>

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInterval{20};
constexpr milliseconds kCheckTime{5};
constexpr int kCallers = 50;

BOOST_AUTO_TEST_SUITE(shared_check)

BOOST_AUTO_TEST_CASE(callers_share_a_check_that_began_after_their_request) {
  Loop loop;
  SharedCheck shared(loop, kInterval);
  int checks = 0;
  int answered = 0;
  for (int i = 0; i < kCallers; ++i) {
    loop.Spawn([&](Fiber& fiber) {
      const int before = checks;
      const bool valid = shared.Run(fiber, [&](Fiber& child) {
        ++checks;
        child.Sleep(kCheckTime);
        return true;
      });
      BOOST_TEST(valid);
      BOOST_TEST(checks > before);
      ++answered;
    });
  }
  loop.Run();
  BOOST_TEST(answered == kCallers);
  // One check for the first caller and one for all that asked while it ran.
  BOOST_TEST(checks == 2);
}

BOOST_AUTO_TEST_CASE(a_failure_reaches_the_caller_and_the_next_check_is_new) {
  Loop loop;
  SharedCheck shared(loop, kInterval);
  int failures = 0;
  bool next_result = false;
  loop.Spawn([&](Fiber& fiber) {
    try {
      shared.Run(fiber, [](Fiber&) -> bool {
        throw std::runtime_error("service unavailable");
      });
    } catch (const std::runtime_error&) {
      ++failures;
    }
    next_result = shared.Run(fiber, [](Fiber&) { return true; });
  });
  loop.Run();
  BOOST_TEST(failures == 1);
  BOOST_TEST(next_result);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
