#ifndef CORE_STREAM_PACER_H_
#define CORE_STREAM_PACER_H_

#include <chrono>
#include <optional>

#include "core/time_point.h"

namespace comfreyfold {

// Says how long to leave the next tokens of a stream unread, so that those
// that arrive close together are passed on in one piece.
class StreamPacer {
 public:
  // `longest` bounds the time between two reads; zero: read at once.
  explicit StreamPacer(std::chrono::milliseconds longest);

  // Tokens were passed on at `now`. The first ones start the stream.
  void OnForwarded(TimePoint now);

  // The time until the next read; zero before the first token.
  std::chrono::milliseconds Pause(TimePoint now) const;

 private:
  std::chrono::milliseconds longest_;
  std::optional<TimePoint> started_;
};

}  // namespace comfreyfold

#endif  // CORE_STREAM_PACER_H_
