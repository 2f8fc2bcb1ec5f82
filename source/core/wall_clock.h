#ifndef CORE_WALL_CLOCK_H_
#define CORE_WALL_CLOCK_H_

#include <chrono>

namespace comfreyfold {

// Returns the time since the Unix epoch, for times that have to stay valid
// across restarts. It may differ by seconds between VMs.
inline std::chrono::milliseconds WallNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace comfreyfold

#endif  // CORE_WALL_CLOCK_H_
