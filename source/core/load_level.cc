#include "core/load_level.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace comfreyfold {

namespace {

// Of the newest, in the mean: about what two dozen servers tell.
constexpr double kWeight = 0.04;
// Daemons hear of others' servers that often. Without news for longer the mean
// halves in about the length of a turn.
constexpr std::chrono::milliseconds kNewsEvery{300};
constexpr std::chrono::milliseconds kHalfLife{300};

}  // namespace

void LoadLevel::Note(int requests, int slots, TimePoint now) {
  const double level = static_cast<double>(requests) / std::max(1, slots);
  mean_ = At(now) * (1 - kWeight) + level * kWeight;
  noted_at_ = now;
}

double LoadLevel::At(TimePoint now) const {
  const std::chrono::duration<double, std::milli> age =
      std::max(TimePoint::duration(0), now - noted_at_ - kNewsEvery);
  const std::chrono::duration<double, std::milli> half = kHalfLife;
  return mean_ * std::exp2(-age / half);
}

}  // namespace comfreyfold
