#include <boost/test/unit_test.hpp>

#include "core/adaptive_timeout.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLeast{150};
constexpr milliseconds kMost{1000};

BOOST_AUTO_TEST_SUITE(adaptive_timeout)

BOOST_AUTO_TEST_CASE(silence_of_fast_daemon_is_noticed_in_least_time) {
  AdaptiveTimeout timeout(kLeast, kMost);
  for (int n = 0; n < 100; ++n) {
    timeout.OnAnswer(milliseconds(5));
  }
  BOOST_TEST((timeout.Get() == kLeast));
}

BOOST_AUTO_TEST_CASE(daemon_that_answers_ever_later_is_not_taken_for_dead) {
  AdaptiveTimeout timeout(kLeast, kMost);
  for (int n = 0; n < 90; ++n) {
    const milliseconds took(10 + 5 * n);
    BOOST_TEST((took < timeout.Get()));
    timeout.OnAnswer(took);
  }
}

BOOST_AUTO_TEST_CASE(misses_alone_lengthen_it_up_to_the_most) {
  AdaptiveTimeout timeout(kLeast, kMost);
  timeout.OnMiss();
  BOOST_TEST((timeout.Get() == 2 * kLeast));
  for (int n = 0; n < 10; ++n) {
    timeout.OnMiss();
  }
  BOOST_TEST((timeout.Get() == kMost));
}

BOOST_AUTO_TEST_CASE(fast_answers_shorten_it_again) {
  AdaptiveTimeout timeout(kLeast, kMost);
  for (int n = 0; n < 10; ++n) {
    timeout.OnMiss();
  }
  for (int n = 0; n < 30; ++n) {
    timeout.OnAnswer(milliseconds(5));
  }
  BOOST_TEST((timeout.Get() == kLeast));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
