#include "core/start_delay.h"

#include <algorithm>

namespace comfreyfold {

namespace {
constexpr std::size_t kSmallFleet = 9;
constexpr std::chrono::milliseconds kTimeADaemon{25};
// A change of contract is to be in force in 18 s everywhere.
constexpr std::chrono::milliseconds kLongest{10000};
}  // namespace

std::chrono::milliseconds StartDelay(std::size_t daemons, std::uint64_t seed) {
  if (daemons <= kSmallFleet) {
    return std::chrono::milliseconds::zero();
  }
  const auto spread =
      std::min(kLongest, kTimeADaemon * static_cast<int>(daemons));
  return std::chrono::milliseconds(seed %
                                   static_cast<std::uint64_t>(spread.count()));
}

}  // namespace comfreyfold
