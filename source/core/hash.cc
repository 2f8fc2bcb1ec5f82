#include "core/hash.h"

#include <algorithm>
#include <utility>

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

std::uint64_t RendezvousWeight(std::uint64_t key_hash, std::string_view node) {
  return Hash64(node, key_hash);
}

std::vector<std::string> RendezvousOrder(std::string_view key,
                                         std::vector<std::string> nodes) {
  // The weights are computed once, because the sort compares each node several
  // times.
  const auto seed = Hash64(key);
  std::vector<std::pair<std::uint64_t, std::string>> weighted;
  weighted.reserve(nodes.size());
  for (auto& it : nodes) {
    const auto weight = RendezvousWeight(seed, it);
    weighted.emplace_back(weight, std::move(it));
  }
  std::sort(weighted.begin(), weighted.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second < b.second;
  });
  for (std::size_t n = 0; n < nodes.size(); ++n) {
    nodes[n] = std::move(weighted[n].second);
  }
  return nodes;
}

}  // namespace comfreyfold
