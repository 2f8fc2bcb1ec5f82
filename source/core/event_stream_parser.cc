#include "core/event_stream_parser.h"

namespace comfreyfold {

namespace {

std::string_view FieldValue(std::string_view line, std::size_t name_end) {
  auto value = line.substr(name_end + 1);
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  return value;
}

// Returns the length of the first event in `buf` including its blank line, or 0
// if the event is incomplete. Lines end with LF or CRLF.
std::size_t EventLength(std::string_view buf) {
  std::size_t start = 0;
  for (auto n = buf.find('\n'); n != std::string_view::npos;
       n = buf.find('\n', start)) {
    const auto line = buf.substr(start, n - start);
    if (line.empty() || line == "\r") {
      return n + 1;
    }
    start = n + 1;
  }
  return 0;
}

StreamEvent ParseEvent(std::string_view bytes) {
  StreamEvent out;
  out.bytes = bytes;
  bool has_data = false;
  std::size_t start = 0;
  while (start < bytes.size()) {
    const auto end = bytes.find('\n', start);
    auto line = bytes.substr(start, end - start);
    start = end + 1;
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    const auto n = line.find(':');
    if (n == std::string_view::npos) {
      continue;
    }
    const auto name = line.substr(0, n);
    if (name == "id") {
      out.id = FieldValue(line, n);
    } else if (name == "data") {
      if (has_data) {
        out.data += '\n';
      }
      out.data += FieldValue(line, n);
      has_data = true;
    }
  }
  return out;
}

}  // namespace

void EventStreamParser::Feed(
    std::string_view bytes,
    const std::function<void(const StreamEvent&)>& on_event) {
  buf_ += bytes;
  std::size_t used = 0;
  const std::string_view all(buf_);
  for (auto n = EventLength(all); n > 0; n = EventLength(all.substr(used))) {
    on_event(ParseEvent(all.substr(used, n)));
    used += n;
  }
  buf_.erase(0, used);
}

bool EventStreamParser::InsideEvent() const {
  std::size_t start = 0;
  while (start < buf_.size()) {
    const auto end = buf_.find('\n', start);
    if (buf_[start] != ':' || end == std::string::npos) {
      return true;
    }
    start = end + 1;
  }
  return false;
}

}  // namespace comfreyfold
