#include "core/server_directory.h"

#include <set>

namespace comfreyfold {

void ServerDirectory::Apply(const std::vector<BackendServer>& listed,
                            TimePoint now) {
  if (lost_) {
    lost_ = false;
    settled_at_ = now + kRegistrySettles;
  }
  DropReusedAddresses(listed);
  std::set<std::string> present;
  for (const auto& it : listed) {
    present.insert(it.id);
    servers_[it.id] = it;
  }
  // Until the registry has settled, a missing entry says nothing.
  if (known_ && now < settled_at_) {
    return;
  }
  std::erase_if(servers_, [&present](const auto& it) {
    return present.count(it.first) == 0;
  });
  known_ = true;
}

void ServerDirectory::DropReusedAddresses(
    const std::vector<BackendServer>& listed) {
  for (const auto& entry : listed) {
    std::erase_if(servers_, [&entry](const auto& it) {
      return it.first != entry.id && it.second.address == entry.address;
    });
  }
}

void ServerDirectory::RegistryLost() {
  lost_ = true;
}

}  // namespace comfreyfold
