#ifndef CORE_STREAM_PACER_H_
#define CORE_STREAM_PACER_H_

#include <chrono>
#include <optional>

#include "core/time_point.h"

namespace comfreyfold {

// Computes how long to pause before the next read of a token stream, so that
// tokens that arrive shortly after each other are forwarded together.
class StreamPacer {
 public:
  // `max_pause` limits the pause between two reads; zero disables pauses.
  explicit StreamPacer(std::chrono::milliseconds max_pause);

  // Records that tokens were forwarded. The first ones start the stream.
  void OnForwarded(TimePoint now);

  // The pause before the next read; zero before the first token.
  std::chrono::milliseconds Pause(TimePoint now) const;

 private:
  std::chrono::milliseconds max_pause_;
  std::optional<TimePoint> started_;
};

}  // namespace comfreyfold

#endif  // CORE_STREAM_PACER_H_
