#ifndef CORE_PROBE_RING_H_
#define CORE_PROBE_RING_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace comfreyfold {

// Chooses the peers to probe in each round. All peers are probed in turn, in a
// random order that differs between daemons and is shuffled again after each
// pass. No peer is left unprobed for longer than two passes, and the probes of
// a fleet are spread evenly.
class ProbeRing {
 public:
  explicit ProbeRing(std::uint64_t seed);

  // Returns the next `count` of `peers`, or all if there are at most `count`.
  std::vector<std::string> Next(const std::set<std::string>& peers,
                                std::size_t count);

 private:
  void Refill(const std::set<std::string>& peers);

  std::mt19937_64 random_;
  std::deque<std::string> queue_;
};

}  // namespace comfreyfold

#endif  // CORE_PROBE_RING_H_
