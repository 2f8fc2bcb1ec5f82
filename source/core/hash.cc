#include "core/hash.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace comfreyfold {

std::uint64_t Hash64(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

int LaneOf(std::string_view customer, std::string_view program, int lanes) {
  const auto hash = Hash64(program, Hash64(customer));
  return static_cast<int>(hash % static_cast<std::uint64_t>(lanes));
}

std::vector<std::string> RendezvousOrder(std::string_view key,
                                         std::vector<std::string> nodes) {
  const auto weight = [key](const std::string& node) {
    return Hash64(node, Hash64(key));
  };
  std::sort(nodes.begin(), nodes.end(),
            [&weight](const std::string& a, const std::string& b) {
              return weight(a) != weight(b) ? weight(a) > weight(b) : a < b;
            });
  return nodes;
}

}  // namespace comfreyfold
