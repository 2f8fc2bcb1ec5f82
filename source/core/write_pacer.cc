#include "core/write_pacer.h"

#include <algorithm>

namespace comfreyfold {

using std::chrono::microseconds;
using std::chrono::milliseconds;

WritePacer::WritePacer(int writes_per_second, int burst) : burst_(burst) {
  SetRate(writes_per_second);
}

void WritePacer::SetRate(int writes_per_second) {
  interval_ =
      microseconds(std::chrono::seconds(1)) / std::max(1, writes_per_second);
}

milliseconds WritePacer::Reserve(TimePoint now) {
  // Idle time is credited for at most `burst_` writes.
  next_ = std::max(next_, now - interval_ * burst_) + interval_;
  const auto wait = std::chrono::ceil<milliseconds>(next_ - now);
  return std::max(milliseconds::zero(), wait);
}

}  // namespace comfreyfold
