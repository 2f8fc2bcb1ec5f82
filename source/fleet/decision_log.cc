#include "fleet/decision_log.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace comfreyfold {

namespace {

// Limits the CPU time of logging under load; a line takes some microseconds.
constexpr int kLinesPerSecond = 3000;
// Of each text, some of which clients choose.
constexpr std::size_t kMaxTextBytes = 512;

std::string CutText(const std::string& text) {
  return text.substr(0, kMaxTextBytes);
}
std::int64_t CutText(std::int64_t n) {
  return n;
}

bool StdoutIsWritable() {
  pollfd out{STDOUT_FILENO, POLLOUT, 0};
  return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

}  // namespace

DecisionLog::DecisionLog(std::string vm) : vm_(std::move(vm)) {}

bool DecisionLog::Admit(std::chrono::steady_clock::time_point now) {
  if (now - window_start_ >= std::chrono::seconds(1)) {
    window_start_ = now;
    lines_in_window_ = 0;
  }
  return ++lines_in_window_ <= kLinesPerSecond && StdoutIsWritable();
}

void DecisionLog::Write(std::string_view event,
                        const std::string& request,
                        std::initializer_list<LogField> fields) {
  if (!Admit(std::chrono::steady_clock::now())) {
    ++dropped_;
    return;
  }
  nlohmann::ordered_json line;
  line["time_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  line["vm"] = vm_;
  line["event"] = event;
  if (!request.empty()) {
    line["request"] = CutText(request);
  }
  for (const auto& it : fields) {
    std::visit(
        [&line, &it](const auto& value) { line[it.name] = CutText(value); },
        it.value);
  }
  if (dropped_ != dropped_reported_) {
    line["lines_dropped"] = dropped_ - dropped_reported_;
  }
  auto text =
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  text += '\n';
  // Writes of up to PIPE_BUF bytes to a pipe are atomic, so a line is not
  // split. A pipe that counts as writable takes as much without a wait.
  if (text.size() > PIPE_BUF ||
      ::write(STDOUT_FILENO, text.data(), text.size()) !=
          static_cast<ssize_t>(text.size())) {
    ++dropped_;
  } else {
    dropped_reported_ = dropped_;
  }
}

}  // namespace comfreyfold
