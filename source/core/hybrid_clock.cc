#include "core/hybrid_clock.h"

#include <algorithm>

namespace comfreyfold {

namespace {
// 51 bits of microseconds last until the year 2041. The lower 12 bits count
// events within one microsecond.
constexpr int kCounterBits = 12;
constexpr std::int64_t kCounterMask = (1 << kCounterBits) - 1;
}  // namespace

HybridTime::HybridTime(std::chrono::microseconds wall, int counter)
    : packed_((wall.count() << kCounterBits) | (counter & kCounterMask)) {}

HybridTime HybridTime::FromPacked(std::int64_t packed) {
  HybridTime out;
  out.packed_ = packed;
  return out;
}

std::chrono::microseconds HybridTime::wall() const {
  return std::chrono::microseconds(packed_ >> kCounterBits);
}

int HybridTime::counter() const {
  return static_cast<int>(packed_ & kCounterMask);
}

HybridTime HybridClock::Tick(std::chrono::microseconds now) {
  // When the counter is full, adding one carries into the microseconds.
  last_ =
      std::max(HybridTime(now, 0), HybridTime::FromPacked(last_.packed() + 1));
  return last_;
}

HybridTime HybridClock::Receive(HybridTime remote,
                                std::chrono::microseconds now) {
  last_ = std::max(last_, remote);
  return Tick(now);
}

}  // namespace comfreyfold
