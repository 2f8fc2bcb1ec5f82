#ifndef CORE_EVENT_STREAM_PARSER_H_
#define CORE_EVENT_STREAM_PARSER_H_

#include <functional>
#include <string>
#include <string_view>

namespace comfreyfold {

// One complete event of a text/event-stream (server-sent events).
struct StreamEvent {
  std::string_view bytes;  // As received, including the final blank line.
  std::string id;          // Empty when the event has none.
  std::string data;        // The data lines, joined by line feeds.
};

// Incrementally splits a text/event-stream into complete events.
class EventStreamParser {
 public:
  // Calls `on_event` for each event that `bytes` complete. The event is valid
  // only during the call.
  void Feed(std::string_view bytes,
            const std::function<void(const StreamEvent&)>& on_event);

  // The bytes received after the last complete event.
  const std::string& rest() const { return buf_; }
  // Whether the rest begins another event. Comment lines alone do not.
  bool InsideEvent() const;

 private:
  std::string buf_;
};

}  // namespace comfreyfold

#endif  // CORE_EVENT_STREAM_PARSER_H_
