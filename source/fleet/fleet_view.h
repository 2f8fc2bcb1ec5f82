#ifndef FLEET_FLEET_VIEW_H_
#define FLEET_FLEET_VIEW_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/load_report_table.h"
#include "core/routing.h"
#include "core/server_directory.h"
#include "core/storage_list.h"
#include "core/time_point.h"

namespace comfreyfold {

// What a daemon knows of the deployment. Versions only ever rise.
class FleetView {
 public:
  // Null until a first configuration is known.
  std::shared_ptr<const RoutingConfig> config() const { return config_; }
  const ServerDirectory& servers() const { return servers_; }
  const StorageList& storage() const { return storage_; }

  // The text that the configuration was decoded from, to pass it on.
  const std::string& config_text() const { return config_text_; }
  // The registrations as they were read, and when: a copy passed on by
  // another daemon is as old as its reader's.
  const std::vector<BackendServer>& listed() const { return listed_; }
  TimePoint listed_at() const { return listed_at_; }

  // When the service last confirmed the configuration that is known.
  TimePoint config_confirmed_at() const { return config_confirmed_at_; }

  // False when an equal or newer version is known already. `read_at` is when
  // the service told it.
  bool ApplyConfig(RoutingConfig config, std::string text, TimePoint read_at);
  void ConfirmConfig(TimePoint read_at);
  // False when a later reading is known already.
  bool ApplyServers(std::vector<BackendServer> listed,
                    TimePoint read_at,
                    TimePoint now);
  void RegistryLost() { servers_.RegistryLost(); }
  bool ApplyStorage(StorageList list);

  // Loads that servers told this daemon or others.
  LoadReportTable& loads() { return loads_; }

  // Other daemons that serve clients, by address: some, not all.
  const std::vector<std::string>& daemons() const { return daemons_; }
  void NoteDaemons(std::vector<std::string> addresses) {
    daemons_ = std::move(addresses);
  }

  // VMs whose disks the operators want emptied.
  const std::set<std::string>& retiring() const { return retiring_; }
  void ApplyRetiring(std::set<std::string> vms);

  // Called after each change.
  void OnChange(std::function<void()> hook) { on_change_.push_back(hook); }

 private:
  void Changed() const;

  std::shared_ptr<const RoutingConfig> config_;
  std::string config_text_;
  TimePoint config_confirmed_at_{};
  ServerDirectory servers_;
  std::vector<BackendServer> listed_;
  TimePoint listed_at_{};
  StorageList storage_;
  LoadReportTable loads_;
  std::vector<std::string> daemons_;
  std::set<std::string> retiring_;
  std::vector<std::function<void()>> on_change_;
};

}  // namespace comfreyfold

#endif  // FLEET_FLEET_VIEW_H_
