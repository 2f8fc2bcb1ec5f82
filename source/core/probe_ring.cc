#include "core/probe_ring.h"

#include <algorithm>

namespace comfreyfold {

ProbeRing::ProbeRing(std::uint64_t seed) : random_(seed) {}

std::vector<std::string> ProbeRing::Next(const std::set<std::string>& peers,
                                         std::size_t count) {
  if (peers.size() <= count) {
    return {peers.begin(), peers.end()};
  }
  std::vector<std::string> out;
  while (out.size() < count) {
    if (queue_.empty()) {
      Refill(peers);
    }
    auto peer = std::move(queue_.front());
    queue_.pop_front();
    const bool is_peer = peers.contains(peer);
    if (is_peer && std::find(out.begin(), out.end(), peer) == out.end()) {
      out.push_back(std::move(peer));
    }
  }
  return out;
}

void ProbeRing::Refill(const std::set<std::string>& peers) {
  queue_.assign(peers.begin(), peers.end());
  std::shuffle(queue_.begin(), queue_.end(), random_);
}

}  // namespace comfreyfold
