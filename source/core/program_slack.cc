#include "core/program_slack.h"

#include <algorithm>

namespace comfreyfold {

namespace {

// Of a program's time, what may be lost to waiting: deployments grant 1.4 to
// 1.8 times the time on idle servers, so at least this share.
constexpr double kAllowanceShare = 0.33;
// The low end follows a faster turn at once and a slower one by this share.
constexpr double kRise = 0.002;
// Shorter streams say little of the time between events.
constexpr std::int64_t kEventsToJudge = 4;
constexpr std::chrono::seconds kKeptAfterEnd{30};

void FollowLowEnd(double& low, double value) {
  low = low == 0 || value < low ? value : low + (value - low) * kRise;
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
    it->second.lost = age;
  }
}

void ProgramSlack::OnTurnEnd(const std::string& program,
                             std::chrono::milliseconds took,
                             std::chrono::milliseconds first_event,
                             std::int64_t events) {
  if (events > 0) {
    FollowLowEnd(first_event_ms_, static_cast<double>(first_event.count()));
  }
  if (events >= kEventsToJudge) {
    FollowLowEnd(event_ms_, static_cast<double>((took - first_event).count()) /
                                static_cast<double>(events));
  }
  const auto it = programs_.find(program);
  if (it == programs_.end()) {
    return;
  }
  const double ideal =
      first_event_ms_ + event_ms_ * static_cast<double>(events);
  const auto excess =
      static_cast<std::int64_t>(static_cast<double>(took.count()) - ideal);
  it->second.lost +=
      std::chrono::milliseconds(std::max<std::int64_t>(0, excess));
}

std::chrono::milliseconds ProgramSlack::Remaining(
    const std::string& program) const {
  const auto it = programs_.find(program);
  return it == programs_.end() ? std::chrono::milliseconds(0)
                               : it->second.allowance - it->second.lost;
}

void ProgramSlack::Expire(TimePoint now) {
  std::erase_if(programs_, [now](const auto& it) {
    return it.second.finish_by + kKeptAfterEnd < now;
  });
}

}  // namespace comfreyfold
