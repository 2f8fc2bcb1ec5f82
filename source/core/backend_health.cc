#include "core/backend_health.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace comfreyfold {

namespace {

constexpr int kMaxDoublings = 5;
constexpr int kProbationEnd = 16;

}  // namespace

void BackendHealth::Succeeded(const std::string& id) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) {
    return;
  }
  auto& server = it->second;
  server.consecutive_failures = 0;
  server.probation_limit *= 2;
  if (server.probation_limit == 0 || server.probation_limit >= kProbationEnd) {
    servers_.erase(it);
  }
}

void BackendHealth::Failed(const std::string& id, TimePoint now) {
  auto& server = servers_[id];
  // Calls that were in flight at the ejection add no information.
  if (now < server.ejected_until) {
    return;
  }
  ++server.consecutive_failures;
  const bool on_probation = server.probation_limit > 0;
  if (server.consecutive_failures < settings_.ejection_failures &&
      !on_probation) {
    return;
  }
  const int doublings = std::min(server.ejections, kMaxDoublings);
  server.ejected_until = now + settings_.ejection_time * (1 << doublings);
  ++server.ejections;
  server.consecutive_failures = 0;
  server.probation_limit = 1;
}

bool BackendHealth::IsEjected(const std::string& id, TimePoint now) const {
  const auto it = servers_.find(id);
  return it != servers_.end() && now < it->second.ejected_until;
}

std::vector<std::string> BackendHealth::Usable(
    const std::vector<Candidate>& candidates,
    TimePoint now) const {
  std::vector<std::string> out;
  std::vector<std::pair<TimePoint, std::string>> excluded;
  for (const auto& it : candidates) {
    const auto server = servers_.find(it.id);
    const bool probation_limit_reached =
        server != servers_.end() && server->second.probation_limit > 0 &&
        it.in_flight >= server->second.probation_limit;
    if (IsEjected(it.id, now) || probation_limit_reached) {
      excluded.emplace_back(server->second.ejected_until, it.id);
    } else {
      out.push_back(it.id);
    }
  }
  // When many servers fail at once, the fault is more likely in the network,
  // and the whole load would overload the remaining servers as well.
  const auto required = static_cast<std::size_t>(
      std::ceil(static_cast<double>(candidates.size()) *
                (1 - std::clamp(settings_.max_ejected_share, 0.0, 0.99))));
  std::sort(excluded.begin(), excluded.end());
  for (std::size_t i = 0; out.size() < required && i < excluded.size(); ++i) {
    out.push_back(excluded[i].second);
  }
  return out;
}

}  // namespace comfreyfold
