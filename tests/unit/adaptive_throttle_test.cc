#include <algorithm>
#include <random>

#include <boost/test/unit_test.hpp>

#include "core/adaptive_throttle.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;
using Importance = AdaptiveThrottle::Importance;

struct Outcome {
  int sent = 0;
  int answered = 0;
  int new_requests = 0;
  int new_sent = 0;
  int started_requests = 0;
  int started_sent = 0;
};

// 100 requests a second, one of four with a new program, to a service that
// answers at most some of them.
class Load {
 public:
  Outcome Play(milliseconds time, int answers_per_second) {
    constexpr milliseconds kInterval{10};
    constexpr double kMaxBurst = 5;
    Outcome out;
    double room = 0;
    for (milliseconds t{0}; t < time; t += kInterval) {
      now_ += kInterval;
      room =
          std::min(kMaxBurst,
                   room + answers_per_second *
                              std::chrono::duration<double>(kInterval).count());
      const bool is_new = ++n_ % 4 == 0;
      ++(is_new ? out.new_requests : out.started_requests);
      if (!throttle_.Admit(
              is_new ? Importance::kNewWork : Importance::kStartedWork,
              uniform_(random_), now_)) {
        continue;
      }
      ++out.sent;
      ++(is_new ? out.new_sent : out.started_sent);
      if (room < 1) {
        throttle_.OnTimeout(now_);
        continue;
      }
      room -= 1;
      ++out.answered;
      throttle_.OnAnswered(now_);
    }
    return out;
  }

  void TimeOut() { throttle_.OnTimeout(now_); }
  double RefusedShare() {
    return throttle_.RefusedShare(Importance::kNewWork, now_);
  }
  milliseconds RetryAfter() { return throttle_.RetryAfter(now_); }

 private:
  AdaptiveThrottle throttle_;
  TimePoint now_{std::chrono::hours(1)};
  int n_ = 0;
  std::mt19937 random_{7};
  std::uniform_real_distribution<double> uniform_{0, 1};
};

BOOST_AUTO_TEST_SUITE(adaptive_throttle)

BOOST_AUTO_TEST_CASE(nothing_is_refused_while_all_is_answered) {
  Load load;
  BOOST_TEST(load.Play(milliseconds(10000), 200).sent == 1000);
  BOOST_TEST((load.RetryAfter() == milliseconds(150)));
}

BOOST_AUTO_TEST_CASE(few_timeouts_among_many_answers_refuse_nothing) {
  Load load;
  load.Play(milliseconds(5000), 200);
  for (int n = 0; n < 4; ++n) {
    load.TimeOut();
  }
  BOOST_TEST(load.RefusedShare() == 0);
}

BOOST_AUTO_TEST_CASE(overloaded_service_is_sent_little_more_than_it_answers) {
  Load load;
  load.Play(milliseconds(5000), 20);
  const auto outcome = load.Play(milliseconds(10000), 20);
  BOOST_TEST(outcome.answered > 150);
  BOOST_TEST(outcome.sent < 3 * outcome.answered);
}

BOOST_AUTO_TEST_CASE(new_programs_are_refused_before_started_ones) {
  Load load;
  load.Play(milliseconds(5000), 60);
  const auto outcome = load.Play(milliseconds(10000), 60);
  BOOST_TEST(outcome.new_sent * outcome.started_requests <
             outcome.started_sent * outcome.new_requests);
}

BOOST_AUTO_TEST_CASE(service_that_has_recovered_is_used_again_soon) {
  Load load;
  load.Play(milliseconds(10000), 0);
  BOOST_TEST((load.RetryAfter() > milliseconds(1000)));
  load.Play(milliseconds(8000), 200);
  BOOST_TEST(load.Play(milliseconds(2000), 200).sent > 190);
}

// Turns of known chains were refused for seconds though all sent were answered.
BOOST_AUTO_TEST_CASE(started_programs_are_sent_soon_after_the_last_timeout) {
  Load load;
  load.Play(milliseconds(10000), 0);
  load.Play(milliseconds(2500), 200);
  const auto outcome = load.Play(milliseconds(1000), 200);
  BOOST_TEST(outcome.started_sent == outcome.started_requests);
}

BOOST_AUTO_TEST_CASE(started_programs_are_refused_again_after_a_timeout) {
  Load load;
  load.Play(milliseconds(10000), 0);
  load.Play(milliseconds(2500), 200);
  const auto outcome = load.Play(milliseconds(5000), 0);
  BOOST_TEST(outcome.started_sent < outcome.started_requests / 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
