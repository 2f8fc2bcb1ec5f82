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

BOOST_AUTO_TEST_CASE(callers_share_a_check_that_began_after_they_asked) {
  Loop loop;
  SharedCheck shared(loop, kInterval);
  int checks = 0;
  int answered = 0;
  for (int i = 0; i < kCallers; ++i) {
    loop.Spawn([&](Fiber& fiber) {
      const int before = checks;
      const bool good = shared.Run(fiber, [&](Fiber& child) {
        ++checks;
        child.Sleep(kCheckTime);
        return true;
      });
      BOOST_TEST(good);
      BOOST_TEST(checks > before);
      ++answered;
    });
  }
  loop.Run();
  BOOST_TEST(answered == kCallers);
  // The first caller's own, and one for all who came while it ran.
  BOOST_TEST(checks == 2);
}

BOOST_AUTO_TEST_CASE(failure_reaches_each_caller_and_the_next_check_is_new) {
  Loop loop;
  SharedCheck shared(loop, kInterval);
  int failures = 0;
  bool later = false;
  loop.Spawn([&](Fiber& fiber) {
    try {
      shared.Run(fiber, [](Fiber&) -> bool {
        throw std::runtime_error("service out");
      });
    } catch (const std::runtime_error&) {
      ++failures;
    }
    later = shared.Run(fiber, [](Fiber&) { return true; });
  });
  loop.Run();
  BOOST_TEST(failures == 1);
  BOOST_TEST(later);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
