#include "core/load_followers.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"

namespace comfreyfold {

namespace {

// Poll interval of servers that are neither followed nor in use.
constexpr std::chrono::seconds kIdlePollInterval{60};
// Servers that are polled per round without being followed. Bounds the cost of
// a round for any number of servers.
constexpr std::size_t kMaxUnfollowedPerRound = 5;

// Rendezvous weight of a pair, with two multiplications for speed: a fleet has
// hundreds of thousands of pairs.
std::uint64_t Weight(std::uint64_t server, std::uint64_t daemon) {
  constexpr std::uint64_t kOddFactor = 0x9E3779B97F4A7C15ULL;
  constexpr int kHalfBits = 32;
  auto out = (server ^ daemon) * kOddFactor;
  out ^= out >> kHalfBits;
  return out * kOddFactor;
}

}  // namespace

LoadFollowers::LoadFollowers(const std::string& self,
                             const FollowerSettings& settings)
    : settings_(settings), own_hash_(Hash64(self)) {}

void LoadFollowers::SetDaemons(const std::vector<std::string>& daemons) {
  if (daemons == daemons_) {
    return;
  }
  daemons_ = daemons;
  follows_.clear();
  other_hashes_.clear();
  for (const auto& it : daemons) {
    const auto hash = Hash64(it);
    if (hash != own_hash_) {
      other_hashes_.push_back(hash);
    }
  }
}

bool LoadFollowers::Follows(const std::string& server) const {
  const auto follow_all_limit =
      static_cast<std::size_t>(settings_.every_daemon_follows_up_to);
  if (daemons_.size() <= follow_all_limit) {
    return true;
  }
  const auto cached = follows_.find(server);
  if (cached != follows_.end()) {
    return cached->second;
  }
  const auto hash = Hash64(server);
  const auto own_weight = Weight(hash, own_hash_);
  int higher_ranked = 0;
  for (const auto it : other_hashes_) {
    higher_ranked += Weight(hash, it) > own_weight ? 1 : 0;
  }
  return follows_[server] = higher_ranked < settings_.followers_per_server;
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
    const double overdue_ratio =
        age / (it.in_use ? kReportLifetime : kIdlePollInterval);
    if (overdue_ratio >= 1) {
      due.emplace_back(overdue_ratio, it.id);
    }
  }
  std::sort(due.rbegin(), due.rend());
  due.resize(std::min(due.size(), kMaxUnfollowedPerRound));
  for (auto& [overdue_ratio, id] : due) {
    out.push_back(std::move(id));
  }
  return out;
}

}  // namespace comfreyfold
