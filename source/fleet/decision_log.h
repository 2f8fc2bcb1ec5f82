#ifndef FLEET_DECISION_LOG_H_
#define FLEET_DECISION_LOG_H_

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace comfreyfold {

// One input or outcome of a decision.
struct LogField {
  const char* name;
  std::variant<std::string, std::int64_t> value;

  LogField(const char* key, std::string text)
      : name(key), value(std::move(text)) {}
  LogField(const char* key, const char* text)
      : name(key), value(std::string(text)) {}
  LogField(const char* key, std::string_view text)
      : name(key), value(std::string(text)) {}
  LogField(const char* key, std::int64_t n) : name(key), value(n) {}
  LogField(const char* key, int n)
      : name(key), value(static_cast<std::int64_t>(n)) {}
  LogField(const char* key, std::chrono::milliseconds time)
      : name(key), value(static_cast<std::int64_t>(time.count())) {}
};

// Writes JSON lines to standard output without ever waiting for its reader:
// lines that find no room, or that pass the rate, are counted and dropped.
class DecisionLog {
 public:
  explicit DecisionLog(std::string vm);

  // `request` may be empty: not every decision is about one.
  void Write(std::string_view event,
             const std::string& request,
             std::initializer_list<LogField> fields);

  std::int64_t dropped() const { return dropped_; }

 private:
  bool Admit(std::chrono::steady_clock::time_point now);

  std::string vm_;
  std::chrono::steady_clock::time_point window_start_{};
  int lines_in_window_ = 0;
  std::int64_t dropped_ = 0;
  std::int64_t reported_ = 0;
};

}  // namespace comfreyfold

#endif  // FLEET_DECISION_LOG_H_
