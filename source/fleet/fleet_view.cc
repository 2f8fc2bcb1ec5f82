#include "fleet/fleet_view.h"

#include <algorithm>
#include <utility>

namespace comfreyfold {

namespace {
// Readings come about once a second. After a longer pause somebody could not
// reach the registry, and entries may have lapsed meanwhile.
constexpr std::chrono::milliseconds kRegistryGap{2500};
}  // namespace

void FleetView::ConfirmConfig(TimePoint read_at) {
  config_confirmed_at_ = std::max(config_confirmed_at_, read_at);
}

bool FleetView::ApplyConfig(RoutingConfig config,
                            std::string text,
                            TimePoint read_at) {
  if (config_ && config.version < config_->version) {
    return false;
  }
  ConfirmConfig(read_at);
  if (config_ && config.version == config_->version) {
    return false;
  }
  config_ = std::make_shared<const RoutingConfig>(std::move(config));
  config_text_ = std::move(text);
  Changed();
  return true;
}

bool FleetView::ApplyServers(std::vector<BackendServer> listed,
                             TimePoint read_at,
                             TimePoint now) {
  if (read_at <= listed_at_) {
    return false;
  }
  if (read_at - listed_at_ > kRegistryGap) {
    servers_.RegistryLost();
  }
  listed_at_ = read_at;
  servers_.Apply(listed, now);
  listed_ = std::move(listed);
  Changed();
  return true;
}

bool FleetView::ApplyStorage(StorageList list) {
  if (list.version <= storage_.version) {
    return false;
  }
  storage_ = std::move(list);
  Changed();
  return true;
}

void FleetView::ApplyRetiring(std::set<std::string> vms) {
  if (vms != retiring_) {
    retiring_ = std::move(vms);
    Changed();
  }
}

void FleetView::Changed() const {
  for (const auto& it : on_change_) {
    it();
  }
}

}  // namespace comfreyfold
