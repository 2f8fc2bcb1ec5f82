#include "core/adaptive_throttle.h"

#include <algorithm>
#include <cmath>

namespace comfreyfold {

namespace {

constexpr std::chrono::duration<double> kMemory{2.0};
// Requests let through per request answered: more than one, so that a service
// that has recovered is noticed.
constexpr double kNewWorkRatio = 1.3;
constexpr double kStartedWorkRatio = 2.0;
// A few time-outs alone are no overload: a disk may just have died.
constexpr double kMinRequests = 4;
// A service that answered a request so long after the last time-out, which
// tells of a request sent well before, is no longer overloaded.
constexpr std::chrono::milliseconds kRecoveryTime{1200};
constexpr std::chrono::milliseconds kMinRetryAfter{150};
constexpr std::chrono::milliseconds kMaxRetryAfter{1500};

}  // namespace

void AdaptiveThrottle::Decay(TimePoint now) {
  const std::chrono::duration<double> age = now - decayed_at_;
  const auto factor = std::exp(-std::max(0.0, age / kMemory));
  requests_ *= factor;
  answers_ *= factor;
  decayed_at_ = now;
}

double AdaptiveThrottle::RefusedShare(Importance importance, TimePoint now) {
  Decay(now);
  if (importance == Importance::kStartedWork &&
      answered_at_ - timed_out_at_ >= kRecoveryTime) {
    return 0;
  }
  const auto ratio =
      importance == Importance::kNewWork ? kNewWorkRatio : kStartedWorkRatio;
  return std::max(0.0,
                  (requests_ - ratio * answers_) / (requests_ + kMinRequests));
}

// Refused requests count as well: the more clients return, the smaller the
// share that is let through.
bool AdaptiveThrottle::Admit(Importance importance,
                             double random,
                             TimePoint now) {
  if (random >= RefusedShare(importance, now)) {
    return true;
  }
  requests_ += 1;
  return false;
}

void AdaptiveThrottle::OnAnswered(TimePoint now) {
  Decay(now);
  requests_ += 1;
  answers_ += 1;
  answered_at_ = now;
}

void AdaptiveThrottle::OnTimeout(TimePoint now) {
  Decay(now);
  requests_ += 1;
  timed_out_at_ = now;
}

std::chrono::milliseconds AdaptiveThrottle::RetryAfter(TimePoint now) {
  constexpr double kLeastAdmitted = 0.01;
  const auto admitted =
      std::max(kLeastAdmitted, 1 - RefusedShare(Importance::kStartedWork, now));
  return std::min(kMaxRetryAfter,
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      kMinRetryAfter / admitted));
}

}  // namespace comfreyfold
