#include "core/server_directory.h"

#include <set>

namespace comfreyfold {

void ServerDirectory::Apply(const std::vector<BackendServer>& listed,
                            TimePoint now) {
  if (registry_lost_) {
    registry_lost_ = false;
    reregistered_by_ = now + kReregistrationTime;
  }
  RemoveReusedAddresses(listed);
  std::set<std::string> listed_ids;
  for (const auto& it : listed) {
    listed_ids.insert(it.id);
    servers_[it.id] = it;
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
