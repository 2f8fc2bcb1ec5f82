#ifndef CORE_TIME_POINT_H_
#define CORE_TIME_POINT_H_

#include <chrono>

namespace comfreyfold {

using TimePoint = std::chrono::steady_clock::time_point;

// Before everything else. Half of the range, so that the time since then can be
// computed without overflow.
inline constexpr TimePoint kDistantPast{TimePoint::min().time_since_epoch() /
                                        2};

// Whole milliseconds until `deadline`; negative when it has passed.
inline std::chrono::milliseconds TimeLeft(TimePoint deadline) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - std::chrono::steady_clock::now());
}

}  // namespace comfreyfold

#endif  // CORE_TIME_POINT_H_
