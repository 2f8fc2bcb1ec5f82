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

// A named value in a log line: an input or an outcome of a decision.
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

// Writes JSON lines to standard output without ever blocking on its reader.
// Lines are dropped and counted if the pipe is full or the rate limit is
// exceeded. Long texts are cut.
class DecisionLog {
 public:
  explicit DecisionLog(std::string vm);

  // `request` is the id of the request that the line refers to; empty if none.
  void Write(std::string_view event,
             const std::string& request,
             std::initializer_list<LogField> fields);

  // Number of lines dropped so far.
  std::int64_t dropped() const { return dropped_; }

 private:
  // Whether a line may be written now.
  bool Admit(std::chrono::steady_clock::time_point now);

  std::string vm_;
  std::chrono::steady_clock::time_point window_start_{};
  int lines_in_window_ = 0;
  std::int64_t dropped_ = 0;
  std::int64_t dropped_reported_ = 0;  // Part of `dropped_` that was logged.
};

}  // namespace comfreyfold

#endif  // FLEET_DECISION_LOG_H_
