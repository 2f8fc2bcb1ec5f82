#include "core/adaptive_timeout.h"

#include <algorithm>

namespace comfreyfold {

namespace {
// Answers may take this many times as long as they usually do.
constexpr double kTolerance = 4;
// Slower answers count at once, faster ones little by little.
constexpr double kGainWhenSlower = 0.5;
constexpr double kGainWhenFaster = 0.125;
}  // namespace

void AdaptiveTimeout::OnAnswer(std::chrono::milliseconds took) {
  const std::chrono::duration<double, std::milli> time(took);
  usual_ +=
      (time - usual_) * (time > usual_ ? kGainWhenSlower : kGainWhenFaster);
}

void AdaptiveTimeout::OnMiss() {
  usual_ = std::min<decltype(usual_)>(Get() * 2.0, most_) / kTolerance;
}

std::chrono::milliseconds AdaptiveTimeout::Get() const {
  return std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(
                        usual_ * kTolerance),
                    least_, most_);
}

}  // namespace comfreyfold
