#ifndef CORE_ADAPTIVE_THROTTLE_H_
#define CORE_ADAPTIVE_THROTTLE_H_

#include <chrono>

#include "core/time_point.h"

namespace comfreyfold {

// Decides which requests to refuse at once because the service they need is
// overloaded, from how many of the recent ones it answered in time (client-side
// throttling). The share that is let through shrinks until most of it is
// answered, and grows again when the service has recovered.
class AdaptiveThrottle {
 public:
  enum class Importance {
    kNewWork,      // Begins a program.
    kStartedWork,  // Continues one. Its earlier turns would be lost.
  };

  // Returns whether a request may be sent. `random` is uniform in [0, 1).
  bool Admit(Importance importance, double random, TimePoint now);
  // Record that an admitted request was answered in time, or was not.
  void OnAnswered(TimePoint now);
  void OnTimeout(TimePoint now);

  // The time after which a refused request may try again: longer the more are
  // refused, so that those that return do not add to the overload.
  std::chrono::milliseconds RetryAfter(TimePoint now);

  // The share of requests of this importance that is refused.
  double RefusedShare(Importance importance, TimePoint now);

 private:
  void Decay(TimePoint now);

  // Sums that decay over time.
  double requests_ = 0;
  double answers_ = 0;
  TimePoint decayed_at_{};
  TimePoint timed_out_at_ = kDistantPast;
  TimePoint answered_at_ = kDistantPast;
};

}  // namespace comfreyfold

#endif  // CORE_ADAPTIVE_THROTTLE_H_
