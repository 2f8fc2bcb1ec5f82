#ifndef CORE_START_DELAY_H_
#define CORE_START_DELAY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace comfreyfold {

// How long a daemon that has just started waits before it asks the
// key-value service for more than the list of members, so that a fleet that
// starts at once spreads its calls. Zero in a small fleet; else evenly spread
// by `seed` over a time that grows with the fleet.
std::chrono::milliseconds StartDelay(std::size_t daemons, std::uint64_t seed);

}  // namespace comfreyfold

#endif  // CORE_START_DELAY_H_
