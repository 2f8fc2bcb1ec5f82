#include "fleet/fleet_view.h"

#include <algorithm>
#include <random>
#include <utility>

namespace comfreyfold {

namespace {
// The registrations are read about once a second. A longer pause means that the
// registry could not be reached, and registrations may have expired meanwhile.
constexpr std::chrono::milliseconds kRegistryGap{2500};
}  // namespace

FleetView::FleetView()
    : quarantine_(static_cast<double>(std::random_device{}()) /
                  std::random_device::max()) {}

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
  NotifyListeners();
  return true;
}

bool FleetView::ApplyServers(std::vector<BackendServer> registered_servers,
                             TimePoint read_at,
                             TimePoint now) {
  if (read_at <= servers_read_at_) {
    return false;
  }
  const bool is_first = servers_read_at_ == kDistantPast;
  if (!is_first && read_at - servers_read_at_ > kRegistryGap) {
    servers_.RegistryLost();
  }
  servers_read_at_ = read_at;
  servers_.Apply(registered_servers, now);
  registered_servers_ = std::move(registered_servers);
  NotifyListeners();
  return true;
}

bool FleetView::MarkServerLeaving(const std::string& address) {
  if (!servers_.MarkLeaving(address, std::chrono::steady_clock::now())) {
    return false;
  }
  NotifyListeners();
  return true;
}

bool FleetView::ApplyStorageList(StorageList list) {
  if (list.version <= storage_list_.version) {
    return false;
  }
  storage_list_ = std::move(list);
  NotifyListeners();
  return true;
}

void FleetView::OfferStorageList(const StorageList& list) {
  if (!store_list_) {
    ApplyStorageList(list);
  } else if (list.version > storage_list_.version) {
    store_list_(list);
  }
}

void FleetView::ApplyRetiring(std::set<std::string> vms,
                              std::int64_t revision) {
  if (revision < retiring_revision_) {
    return;
  }
  retiring_revision_ = revision;
  if (vms != retiring_) {
    retiring_ = std::move(vms);
    NotifyListeners();
  }
}

void FleetView::RecordSuspectRuns(const std::vector<SuspectRun>& runs,
                                  ReportSource source) {
  const auto before = quarantine_.HashOfBlamed();
  for (const auto& it : runs) {
    quarantine_.Record(it, std::chrono::steady_clock::now(), source);
  }
  if (quarantine_.HashOfBlamed() != before) {
    NotifyListeners();
  }
}

void FleetView::NotifyListeners() const {
  for (const auto& it : on_change_) {
    it();
  }
}

}  // namespace comfreyfold
