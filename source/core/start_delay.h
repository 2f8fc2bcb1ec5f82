#ifndef CORE_START_DELAY_H_
#define CORE_START_DELAY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace comfreyfold {

// Returns how long a daemon waits after its start before it reads more than the
// list of members from the key-value service, so that the daemons of a fleet
// that start together spread their reads. The delay is zero in a small fleet.
// Otherwise `seed` selects it from an interval that grows with the fleet.
std::chrono::milliseconds StartDelay(std::size_t daemons, std::uint64_t seed);

}  // namespace comfreyfold

#endif  // CORE_START_DELAY_H_
