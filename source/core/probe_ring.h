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

// Whom to probe in a round: everyone in turn, in an order of this daemon's
// own that is shuffled anew after each pass. So no peer goes unprobed for
// longer than two passes, and the probes of a fleet spread evenly.
class ProbeRing {
 public:
  explicit ProbeRing(std::uint64_t seed);

  // The next `count` of `peers`; all of them when there are no more.
  std::vector<std::string> Next(const std::set<std::string>& peers,
                                std::size_t count);

 private:
  void Refill(const std::set<std::string>& peers);

  std::mt19937_64 random_;
  std::deque<std::string> queue_;
};

}  // namespace comfreyfold

#endif  // CORE_PROBE_RING_H_
