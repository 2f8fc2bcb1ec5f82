#include "core/backend_health.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace comfreyfold {

namespace {

constexpr int kMostDoublings = 5;
constexpr int kFullAllowance = 16;

}  // namespace

void BackendHealth::Succeeded(const std::string& id) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) {
    return;
  }
  auto& server = it->second;
  server.failures = 0;
  server.allowance *= 2;
  if (server.allowance == 0 || server.allowance >= kFullAllowance) {
    servers_.erase(it);
  }
}

void BackendHealth::Failed(const std::string& id, TimePoint now) {
  auto& server = servers_[id];
  // Calls that were under way when it was ejected say nothing new.
  if (now < server.ejected_until) {
    return;
  }
  ++server.failures;
  const bool relapse = server.allowance > 0;
  if (server.failures < settings_.ejection_failures && !relapse) {
    return;
  }
  const int doublings = std::min(server.ejections, kMostDoublings);
  server.ejected_until = now + settings_.ejection_time * (1 << doublings);
  ++server.ejections;
  server.failures = 0;
  server.allowance = 1;
}

bool BackendHealth::IsEjected(const std::string& id, TimePoint now) const {
  const auto it = servers_.find(id);
  return it != servers_.end() && now < it->second.ejected_until;
}

std::vector<std::string> BackendHealth::Usable(
    const std::vector<Candidate>& candidates,
    TimePoint now) const {
  std::vector<std::string> out;
  std::vector<std::pair<TimePoint, std::string>> held_back;
  for (const auto& it : candidates) {
    const auto server = servers_.find(it.id);
    const bool on_trial_and_busy = server != servers_.end() &&
                                   server->second.allowance > 0 &&
                                   it.in_flight >= server->second.allowance;
    if (IsEjected(it.id, now) || on_trial_and_busy) {
      held_back.emplace_back(server->second.ejected_until, it.id);
    } else {
      out.push_back(it.id);
    }
  }
  // When many fail at once the fault is rather on the way to them; all the
  // load on the rest would bring those down as well.
  const auto least = static_cast<std::size_t>(
      std::ceil(static_cast<double>(candidates.size()) *
                (1 - std::clamp(settings_.max_ejected_share, 0.0, 0.99))));
  std::sort(held_back.begin(), held_back.end());
  for (std::size_t i = 0; out.size() < least && i < held_back.size(); ++i) {
    out.push_back(held_back[i].second);
  }
  return out;
}

}  // namespace comfreyfold
