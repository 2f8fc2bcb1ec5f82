#include "core/queue_pressure.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace comfreyfold {

namespace {

// Of the newest, in the mean: about what a dozen servers tell.
constexpr double kWeight = 0.08;
// Daemons hear of others' servers that often. Without news for longer the mean
// halves in about the length of a turn.
constexpr std::chrono::milliseconds kNewsEvery{300};
constexpr std::chrono::milliseconds kHalfLife{300};

}  // namespace

void QueuePressure::Note(int requests, int slots, TimePoint now) {
  const double waiting =
      static_cast<double>(std::max(0, requests - slots)) / std::max(1, slots);
  mean_ = At(now) * (1 - kWeight) + waiting * kWeight;
  noted_at_ = now;
}

double QueuePressure::At(TimePoint now) const {
  const std::chrono::duration<double, std::milli> age =
      std::max(TimePoint::duration(0), now - noted_at_ - kNewsEvery);
  const std::chrono::duration<double, std::milli> half = kHalfLife;
  return mean_ * std::exp2(-age / half);
}

}  // namespace comfreyfold
