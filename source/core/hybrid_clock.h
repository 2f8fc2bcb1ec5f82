#ifndef CORE_HYBRID_CLOCK_H_
#define CORE_HYBRID_CLOCK_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace comfreyfold {

// A timestamp of a hybrid logical clock (Kulkarni et al., 2014): wall time that
// is consistent with the order in which messages are sent and received.
class HybridTime {
 public:
  HybridTime() = default;
  HybridTime(std::chrono::microseconds wall, int counter);

  static HybridTime FromPacked(std::int64_t packed);
  std::int64_t packed() const { return packed_; }
  std::chrono::microseconds wall() const;
  int counter() const;

  auto operator<=>(const HybridTime&) const = default;

 private:
  std::int64_t packed_ = 0;
};

class HybridClock {
 public:
  // Returns the timestamp of a local event, or of a message sent, at wall time
  // `now`.
  HybridTime Tick(std::chrono::microseconds now);

  // Merges the timestamp of a received message and returns the timestamp of its
  // receipt.
  HybridTime Receive(HybridTime remote, std::chrono::microseconds now);

 private:
  HybridTime last_;
};

}  // namespace comfreyfold

#endif  // CORE_HYBRID_CLOCK_H_
