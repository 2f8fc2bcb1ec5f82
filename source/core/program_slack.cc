#include "core/program_slack.h"

#include <algorithm>

namespace comfreyfold {

namespace {

// Share of a program's time that may be lost to delays. Deployments grant 1.4
// to 1.8 times the time on idle servers.
constexpr double kAllowanceShare = 0.33;
// Share of a program's time on idle servers in which turns run. The rest are
// pauses and calls of tools, which the load of engines does not slow down.
constexpr double kTurnShare = 0.6;
// Weight of the newest turn in the average delay, which spans some seconds of a
// daemon's turns.
constexpr double kNewestTurnWeight = 0.12;
// A minimum follows a lower value at once and a higher one by this share.
constexpr double kRise = 0.002;
// Shorter streams do not give a reliable time between events.
constexpr std::int64_t kMinEvents = 4;
constexpr std::chrono::seconds kRetentionAfterEnd{30};

void UpdateMinimum(double& minimum, double value) {
  minimum = minimum == 0 || value < minimum
                ? value
                : minimum + (value - minimum) * kRise;
}

std::chrono::milliseconds AllowanceOf(std::chrono::milliseconds time) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(
      static_cast<double>(time.count()) * kAllowanceShare));
}

}  // namespace

void ProgramSlack::OnTurnStart(const std::string& program,
                               std::chrono::milliseconds finish_in,
                               TimePoint now) {
  const auto [it, is_new] = programs_.try_emplace(program);
  if (is_new) {
    it->second.allowance = AllowanceOf(finish_in);
    it->second.finish_by = now + finish_in;
  }
}

void ProgramSlack::OnRejections(const std::string& program,
                                std::chrono::milliseconds finish_in,
                                std::chrono::milliseconds age) {
  const auto it = programs_.find(program);
  if (it != programs_.end()) {
    it->second.allowance = AllowanceOf(finish_in + age);
    it->second.delay = age;
  }
}

void ProgramSlack::OnTurnEnd(const std::string& program,
                             std::chrono::milliseconds duration,
                             std::chrono::milliseconds first_event,
                             std::int64_t events) {
  if (events > 0) {
    UpdateMinimum(idle_first_event_ms_,
                  static_cast<double>(first_event.count()));
  }
  if (events >= kMinEvents) {
    UpdateMinimum(idle_event_ms_,
                  static_cast<double>((duration - first_event).count()) /
                      static_cast<double>(events));
  }
  const double idle_duration =
      idle_first_event_ms_ + idle_event_ms_ * static_cast<double>(events);
  const double excess =
      std::max(0.0, static_cast<double>(duration.count()) - idle_duration);
  if (idle_duration > 0 && events >= kMinEvents) {
    slowdown_ += (excess / idle_duration - slowdown_) * kNewestTurnWeight;
  }
  const auto it = programs_.find(program);
  if (it != programs_.end()) {
    it->second.delay +=
        std::chrono::milliseconds(static_cast<std::int64_t>(excess));
  }
}

bool ProgramSlack::IsLateIfBegunNow(const std::string& program) const {
  const auto it = programs_.find(program);
  if (it == programs_.end()) {
    return false;
  }
  const auto allowance = static_cast<double>(it->second.allowance.count());
  const double idle_time = allowance / kAllowanceShare - allowance;
  const double expected_delay = idle_time * kTurnShare * slowdown_;
  return allowance - static_cast<double>(it->second.delay.count()) <
         expected_delay;
}

std::chrono::milliseconds ProgramSlack::Remaining(
    const std::string& program) const {
  const auto it = programs_.find(program);
  return it == programs_.end() ? std::chrono::milliseconds(0)
                               : it->second.allowance - it->second.delay;
}

void ProgramSlack::Expire(TimePoint now) {
  std::erase_if(programs_, [now](const auto& it) {
    return it.second.finish_by + kRetentionAfterEnd < now;
  });
}

}  // namespace comfreyfold
