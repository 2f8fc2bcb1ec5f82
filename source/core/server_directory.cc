#include "core/server_directory.h"

#include <set>

namespace comfreyfold {

namespace {
// Longer than a server takes to leave.
constexpr std::chrono::hours kLeavingRetention{1};
}  // namespace

void ServerDirectory::Apply(const std::vector<BackendServer>& listed,
                            TimePoint now) {
  if (registry_lost_) {
    registry_lost_ = false;
    reregistered_by_ = now + kReregistrationTime;
  }
  RemoveReusedAddresses(listed);
  std::erase_if(leaving_starts_, [now](const auto& it) {
    return now - it.second.marked_at > kLeavingRetention;
  });
  std::set<std::string> listed_ids;
  for (const auto& it : listed) {
    listed_ids.insert(it.id);
    Add(it);
  }
  // Live servers may be missing until they have had time to register again.
  if (known_ && now < reregistered_by_) {
    return;
  }
  std::erase_if(servers_, [&listed_ids](const auto& it) {
    return listed_ids.count(it.first) == 0;
  });
  known_ = true;
}

void ServerDirectory::Add(const BackendServer& listed) {
  auto& server = servers_[listed.id];
  server = listed;
  const auto it = leaving_starts_.find(listed.id);
  if (it == leaving_starts_.end()) {
    return;
  }
  if (it->second.started == listed.started) {
    server.leaving = true;
  } else {
    leaving_starts_.erase(it);
  }
}

bool ServerDirectory::MarkLeaving(const std::string& address, TimePoint now) {
  bool out = false;
  for (auto& [id, it] : servers_) {
    if (it.address == address && !it.leaving) {
      it.leaving = true;
      leaving_starts_[id] = {it.started, now};
      out = true;
    }
  }
  return out;
}

void ServerDirectory::RemoveReusedAddresses(
    const std::vector<BackendServer>& listed) {
  for (const auto& entry : listed) {
    std::erase_if(servers_, [&entry](const auto& it) {
      return it.first != entry.id && it.second.address == entry.address;
    });
  }
}

void ServerDirectory::RegistryLost() {
  registry_lost_ = true;
}

}  // namespace comfreyfold
