#include "core/stream_pacer.h"

#include <algorithm>

namespace comfreyfold {

namespace {
// A pause delays the end of a stream too: it stays below this part of the
// time that the stream has run, so that a short answer is hardly later.
constexpr int kPartOfStream = 8;
}  // namespace

StreamPacer::StreamPacer(std::chrono::milliseconds longest)
    : longest_(longest) {}

void StreamPacer::OnForwarded(TimePoint now) {
  if (!started_) {
    started_ = now;
  }
}

std::chrono::milliseconds StreamPacer::Pause(TimePoint now) const {
  if (!started_) {
    return std::chrono::milliseconds::zero();
  }
  const auto part = (now - *started_) / kPartOfStream;
  return std::min(longest_,
                  std::chrono::duration_cast<std::chrono::milliseconds>(part));
}

}  // namespace comfreyfold
