#include "core/load_followers.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"

namespace comfreyfold {

namespace {

constexpr std::chrono::seconds kIdleInterval{60};
// Bounds what a round costs, however many servers there are.
constexpr std::size_t kOthersARound = 5;

// One multiplication each: a fleet has hundreds of thousands of pairs.
std::uint64_t Weight(std::uint64_t server, std::uint64_t daemon) {
  constexpr std::uint64_t kOddFactor = 0x9E3779B97F4A7C15ULL;
  constexpr int kHalf = 32;
  auto out = (server ^ daemon) * kOddFactor;
  out ^= out >> kHalf;
  return out * kOddFactor;
}

}  // namespace

LoadFollowers::LoadFollowers(const std::string& self,
                             const FollowerSettings& settings)
    : settings_(settings), self_(Hash64(self)) {}

void LoadFollowers::SetDaemons(const std::vector<std::string>& daemons) {
  if (daemons == names_) {
    return;
  }
  names_ = daemons;
  known_.clear();
  others_.clear();
  for (const auto& it : daemons) {
    const auto hash = Hash64(it);
    if (hash != self_) {
      others_.push_back(hash);
    }
  }
}

bool LoadFollowers::Follows(const std::string& server) const {
  const auto every =
      static_cast<std::size_t>(settings_.every_daemon_follows_up_to);
  if (names_.size() <= every) {
    return true;
  }
  const auto known = known_.find(server);
  if (known != known_.end()) {
    return known->second;
  }
  const auto hash = Hash64(server);
  const auto own = Weight(hash, self_);
  int before = 0;
  for (const auto it : others_) {
    before += Weight(hash, it) > own ? 1 : 0;
  }
  return known_[server] = before < settings_.followers_per_server;
}

std::vector<std::string> LoadFollowers::ServersToPoll(
    const std::vector<PolledServer>& servers,
    TimePoint now) const {
  std::vector<std::string> out;
  std::vector<std::pair<double, std::string>> due;
  for (const auto& it : servers) {
    if (!it.last_polled || Follows(it.id)) {
      out.push_back(it.id);
      continue;
    }
    const std::chrono::duration<double> age = now - *it.last_polled;
    const double lateness = age / (it.in_use ? kReportLifetime : kIdleInterval);
    if (lateness >= 1) {
      due.emplace_back(lateness, it.id);
    }
  }
  std::sort(due.rbegin(), due.rend());
  due.resize(std::min(due.size(), kOthersARound));
  for (auto& [lateness, id] : due) {
    out.push_back(std::move(id));
  }
  return out;
}

}  // namespace comfreyfold
