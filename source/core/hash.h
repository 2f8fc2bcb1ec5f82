#ifndef CORE_HASH_H_
#define CORE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace comfreyfold {

// 64-bit xxHash: the same on every daemon and in every version.
std::uint64_t Hash64(std::string_view text, std::uint64_t seed = 0);

// The lane that holds a customer's program.
int LaneOf(std::string_view customer, std::string_view program, int lanes);

// Rendezvous hashing: `nodes` in falling order of preference for `key`.
// Adding or removing a node moves only that node's keys.
std::vector<std::string> RendezvousOrder(std::string_view key,
                                         std::vector<std::string> nodes);

}  // namespace comfreyfold

#endif  // CORE_HASH_H_
