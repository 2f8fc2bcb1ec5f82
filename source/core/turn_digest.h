#ifndef CORE_TURN_DIGEST_H_
#define CORE_TURN_DIGEST_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace comfreyfold {

// Identifies a turn by 128 bits of hash. The value must be the same on all
// daemons and in all versions.
struct TurnKey {
  std::uint64_t first = 0;  // Hash64() of the id.
  std::uint64_t second = 0;

  static TurnKey Of(std::string_view id);
  friend auto operator<=>(const TurnKey&, const TurnKey&) = default;
};

// A turn that a disk holds.
struct DigestEntry {
  TurnKey key;
  // Since the Unix epoch; 0: unknown.
  std::chrono::milliseconds expires_at{0};

  friend bool operator==(const DigestEntry&, const DigestEntry&) = default;
};

// The turns that a disk holds, in ascending order of their keys.
using TurnDigest = std::vector<DigestEntry>;

// Encodings of fixed size per turn, which take little processor time. The
// Unpack functions ignore an incomplete entry at the end; UnpackDigest() sorts.
std::string PackDigest(const TurnDigest& digest);
TurnDigest UnpackDigest(std::string_view buf);
std::string PackKeys(const std::vector<TurnKey>& keys);
std::vector<TurnKey> UnpackKeys(std::string_view buf);

}  // namespace comfreyfold

#endif  // CORE_TURN_DIGEST_H_
