#include <boost/test/unit_test.hpp>

#include "core/time_point.h"

namespace comfreyfold {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

BOOST_AUTO_TEST_SUITE(time_point)

// Waits that ended early were not counted as having run into their time.
BOOST_AUTO_TEST_CASE(wait_for_time_left_does_not_end_before_the_deadline) {
  for (int n = 0; n < 100; ++n) {
    const auto deadline = steady_clock::now() + microseconds(1199500);
    const auto left = TimeLeft(deadline);
    BOOST_TEST((steady_clock::now() + left >= deadline));
  }
}

BOOST_AUTO_TEST_CASE(time_left_is_over_at_the_deadline_and_not_before) {
  BOOST_TEST((TimeLeft(steady_clock::now()) <= milliseconds(0)));
  BOOST_TEST(
      (TimeLeft(steady_clock::now() - milliseconds(5)) <= milliseconds(-5)));
  BOOST_TEST(
      (TimeLeft(steady_clock::now() + milliseconds(60000)) > milliseconds(0)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
