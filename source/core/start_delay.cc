#include "core/start_delay.h"

#include <algorithm>

namespace comfreyfold {

namespace {
constexpr std::size_t kSmallFleet = 9;
constexpr std::chrono::milliseconds kTimePerDaemon{25};
// Contract changes must take effect on all daemons within 18 s.
constexpr std::chrono::milliseconds kMaxInterval{10000};
}  // namespace

std::chrono::milliseconds StartDelay(std::size_t daemons, std::uint64_t seed) {
  if (daemons <= kSmallFleet) {
    return std::chrono::milliseconds::zero();
  }
  const auto interval =
      std::min(kMaxInterval, kTimePerDaemon * static_cast<int>(daemons));
  return std::chrono::milliseconds(
      seed % static_cast<std::uint64_t>(interval.count()));
}

}  // namespace comfreyfold
