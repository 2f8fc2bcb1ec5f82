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
#include "core/request_quarantine.h"
#include "core/routing.h"
#include "core/server_directory.h"
#include "core/server_fault_table.h"
#include "core/server_limit_table.h"
#include "core/storage_list.h"
#include "core/time_point.h"

namespace comfreyfold {

// A daemon's current view of the deployment: configuration, backend servers,
// storage members, loads, and VMs to be emptied. Older versions never replace
// newer ones.
class FleetView {
 public:
  FleetView();

  // Null until the first configuration has been applied.
  std::shared_ptr<const RoutingConfig> config() const { return config_; }
  const ServerDirectory& servers() const { return servers_; }
  const StorageList& storage_list() const { return storage_list_; }

  // The text that the configuration was decoded from, for other daemons.
  const std::string& config_text() const { return config_text_; }
  // The registrations of backend servers as last read from the key-value
  // service, and the time of the reading, which another daemon may have done.
  const std::vector<BackendServer>& registered_servers() const {
    return registered_servers_;
  }
  TimePoint servers_read_at() const { return servers_read_at_; }

  // When the key-value service last confirmed the current configuration.
  TimePoint config_confirmed_at() const { return config_confirmed_at_; }

  // Returns false if the current version is equal or newer. `read_at` is the
  // time at which the configuration was read from the key-value service.
  bool ApplyConfig(RoutingConfig config, std::string text, TimePoint read_at);
  void ConfirmConfig(TimePoint read_at);
  // Returns false if the current registrations are from the same or a later
  // reading.
  bool ApplyServers(std::vector<BackendServer> registered_servers,
                    TimePoint read_at,
                    TimePoint now);
  // Records that the server at `address` says that it is leaving. Returns false
  // if this is known.
  bool MarkServerLeaving(const std::string& address);
  // Records that the registrations could not be read.
  void RegistryLost() { servers_.RegistryLost(); }
  // Returns false if the current version of the list is equal or newer.
  bool ApplyStorageList(StorageList list);
  // Passes a newer list to the hook of StoreListsBy() if there is one, which
  // applies it later, else applies it.
  void OfferStorageList(const StorageList& list);
  // A daemon with a disk must not forget a list that it has acted on.
  void StoreListsBy(std::function<void(const StorageList&)> hook) {
    store_list_ = std::move(hook);
  }

  // Loads that servers reported to this daemon or to others, and the faults
  // that these saw.
  LoadReportTable& loads() { return loads_; }
  ServerFaultTable& faults() { return faults_; }
  // Limits that servers named to this daemon or to others.
  ServerLimitTable& limits() { return limits_; }
  const ServerLimitTable& limits() const { return limits_; }

  // Requests that crash servers, as this daemon and others have seen.
  const RequestQuarantine& quarantine() const { return quarantine_; }
  void RecordSuspectRuns(const std::vector<SuspectRun>& runs,
                         ReportSource source);
  // See RequestQuarantine::RecordSend.
  bool RecordSend(const RequestFingerprint& fingerprint) {
    return quarantine_.RecordSend(fingerprint,
                                  std::chrono::steady_clock::now());
  }

  // Addresses of some of the other daemons that serve clients.
  const std::vector<std::string>& client_daemons() const {
    return client_daemons_;
  }
  void SetClientDaemons(std::vector<std::string> addresses) {
    client_daemons_ = std::move(addresses);
  }

  // Names of the VMs whose disks operators want emptied.
  const std::set<std::string>& retiring() const { return retiring_; }
  // Revision of the store at which `retiring` was read; 0: not read yet.
  std::int64_t retiring_revision() const { return retiring_revision_; }
  // Takes over `vms` unless a newer set is known.
  void ApplyRetiring(std::set<std::string> vms, std::int64_t revision);

  // Adds a function that is called after each change.
  void OnChange(std::function<void()> hook) { on_change_.push_back(hook); }

 private:
  void NotifyListeners() const;

  std::shared_ptr<const RoutingConfig> config_;
  std::string config_text_;
  TimePoint config_confirmed_at_ = kDistantPast;
  ServerDirectory servers_;
  std::vector<BackendServer> registered_servers_;
  TimePoint servers_read_at_ = kDistantPast;
  StorageList storage_list_;
  std::function<void(const StorageList&)> store_list_;
  LoadReportTable loads_;
  ServerFaultTable faults_;
  ServerLimitTable limits_;
  RequestQuarantine quarantine_;
  std::vector<std::string> client_daemons_;
  std::set<std::string> retiring_;
  std::int64_t retiring_revision_ = 0;
  std::vector<std::function<void()>> on_change_;
};

}  // namespace comfreyfold

#endif  // FLEET_FLEET_VIEW_H_
