#include "core/event_check.h"

#include <charconv>
#include <cstdint>
#include <optional>

namespace comfreyfold {

namespace {

// Fields have names in lower case, headers do not. Words of plain text and JSON
// are no names either.
bool IsFieldName(std::string_view name) {
  constexpr std::string_view kLetters =
      "abcdefghijklmnopqrstuvwxyz0123456789-_";
  return !name.empty() &&
         name.find_first_not_of(kLetters) == std::string_view::npos;
}

std::optional<std::int64_t> NumberOf(const std::string& text) {
  std::int64_t n = 0;
  const auto* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, n);
  return ec == std::errc() && rest == end ? std::optional(n) : std::nullopt;
}

}  // namespace

bool IsEvent(std::string_view bytes) {
  bool has_fields = false;
  bool has_content = false;
  while (!bytes.empty()) {
    const auto end = bytes.find('\n');
    auto line = bytes.substr(0, end);
    bytes.remove_prefix(end == std::string_view::npos ? bytes.size() : end + 1);
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (line.empty() || line.front() == ':') {
      continue;
    }
    const auto name = line.substr(0, line.find(':'));
    if (!IsFieldName(name)) {
      return false;
    }
    has_fields = true;
    has_content = has_content || name == "id" || name == "data";
  }
  return has_content || !has_fields;
}

bool IsOutOfOrder(const std::string& id, const std::string& last) {
  const auto number = NumberOf(id);
  const auto last_number = NumberOf(last);
  return number && last_number && *number <= *last_number;
}

}  // namespace comfreyfold
