#include "core/stream_pacer.h"

#include <algorithm>

namespace comfreyfold {

namespace {
// A pause can also delay the end of a stream. It is limited to the stream's
// duration divided by this number, so that short responses are hardly delayed.
constexpr int kStreamDurationDivisor = 8;
}  // namespace

StreamPacer::StreamPacer(std::chrono::milliseconds max_pause)
    : max_pause_(max_pause) {}

void StreamPacer::OnForwarded(TimePoint now) {
  if (!started_) {
    started_ = now;
  }
}

std::chrono::milliseconds StreamPacer::Pause(TimePoint now) const {
  if (!started_) {
    return std::chrono::milliseconds::zero();
  }
  const auto limit = (now - *started_) / kStreamDurationDivisor;
  return std::min(max_pause_,
                  std::chrono::duration_cast<std::chrono::milliseconds>(limit));
}

}  // namespace comfreyfold
