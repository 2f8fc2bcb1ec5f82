#ifndef CORE_HASH_H_
#define CORE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace comfreyfold {

// Returns the 64-bit xxHash of `text`. The value must be the same on all
// daemons and in all versions.
std::uint64_t Hash64(std::string_view text, std::uint64_t seed = 0);

// Returns the lane to which a customer's program belongs.
int LaneOf(std::string_view customer, std::string_view program, int lanes);

// Returns the preference of rendezvous hashing for `node` and the key whose
// Hash64() is `key_hash`.
std::uint64_t RendezvousWeight(std::uint64_t key_hash, std::string_view node);

// Returns `nodes` in decreasing order of preference for `key` by rendezvous
// hashing. Adding or removing a node moves only that node's keys.
std::vector<std::string> RendezvousOrder(std::string_view key,
                                         std::vector<std::string> nodes);

}  // namespace comfreyfold

#endif  // CORE_HASH_H_
