#include "core/load_level.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace comfreyfold {

namespace {

// Weight of the newest report; the average spans about two dozen reports.
constexpr double kNewestWeight = 0.04;
// Daemons exchange load reports at this interval. Without a report for longer
// the average decays with a half-life of about the duration of a turn.
constexpr std::chrono::milliseconds kReportInterval{300};
constexpr std::chrono::milliseconds kHalfLife{300};

}  // namespace

void LoadLevel::Record(int requests, int slots, TimePoint now) {
  const double level = static_cast<double>(requests) / std::max(1, slots);
  mean_ = At(now) * (1 - kNewestWeight) + level * kNewestWeight;
  recorded_at_ = now;
}

double LoadLevel::At(TimePoint now) const {
  const std::chrono::duration<double, std::milli> age =
      std::max(TimePoint::duration(0), now - recorded_at_ - kReportInterval);
  const std::chrono::duration<double, std::milli> half = kHalfLife;
  return mean_ * std::exp2(-age / half);
}

}  // namespace comfreyfold
