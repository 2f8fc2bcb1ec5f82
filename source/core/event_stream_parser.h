#ifndef CORE_EVENT_STREAM_PARSER_H_
#define CORE_EVENT_STREAM_PARSER_H_

#include <functional>
#include <string>
#include <string_view>

namespace comfreyfold {

// One whole event of a text/event-stream.
struct StreamEvent {
  std::string_view bytes;  // As it came, with its blank line.
  std::string id;          // Empty when it has none.
  std::string data;        // Lines joined by line feeds.
};

// Cuts a stream of bytes into whole events.
class EventStreamParser {
 public:
  void Feed(std::string_view bytes,
            const std::function<void(const StreamEvent&)>& on_event);

  // What came after the last whole event.
  const std::string& rest() const { return buf_; }

 private:
  std::string buf_;
};

}  // namespace comfreyfold

#endif  // CORE_EVENT_STREAM_PARSER_H_
