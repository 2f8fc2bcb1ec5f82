#ifndef VM_VM_DAEMON_H_
#define VM_VM_DAEMON_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "clients/kv_store.h"
#include "core/memory_budget.h"
#include "fleet/decision_log.h"
#include "fleet/fleet_sync.h"
#include "fleet/fleet_view.h"
#include "fleet/permit_client.h"
#include "fleet/permit_service.h"
#include "fleet/store_watcher.h"
#include "fleet/vm_settings.h"
#include "front/call_handler.h"
#include "front/request_codec.h"
#include "front/server_admission.h"
#include "log/metrics.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/loop_delay.h"
#include "storage/fleet_state_file.h"
#include "storage/storage_client.h"
#include "storage/storage_membership_manager.h"
#include "storage/storage_node.h"
#include "vm/retirement_report.h"

namespace comfreyfold {

// The interfaces of the deployment's platform that the daemon uses.
struct VmPlatform {
  KvStore& store;
  StoreLayout layout;
  RetirementKeys retire;
  RequestCodec request_codec;
};

// The daemon of one VM. Serves clients if its settings name a client address,
// and stores turns and token budgets if they name a data folder.
class VmDaemon {
 public:
  VmDaemon(Loop& loop,
           HttpClient& http,
           VmSettings settings,
           VmPlatform platform,
           int metrics_port);
  ~VmDaemon();

  // Throws std::runtime_error if an address cannot be bound or the disk cannot
  // be read.
  void Start();

  // Replaces the settings after their file has changed.
  void Reload(const VmSettings& settings);

  // Sets the hook that is called before each write to the disk, on the thread
  // that writes. The daemon must have a disk.
  void BeforeDiskWrite(std::function<void(WriteKind)> hook) {
    storage_node_->disk_log().BeforeWrite(std::move(hook));
  }

  // Planned stop: reports "not ready" to the load balancer, finishes requests
  // in flight, and calls `done`.
  void Stop(std::function<void()> done);

 private:
  void StartStorage();
  void StartClientService();
  void ShareLimits();
  void StartMetrics();
  void HandleInternal(Fiber& fiber,
                      const HttpRequest& request,
                      HttpExchange& exchange);
  void HandleReadiness(HttpExchange& exchange) const;
  bool IsReady() const;
  void ApplyClientLimits();
  HttpLimits ClientHttpLimits() const;
  const std::string& PeerAddress() const;
  // Time between two reads of the server registrations.
  std::chrono::milliseconds RegistryReadInterval() const;
  // Whether this daemon passes fleet state on to its data centre.
  bool IsHub() const;
  // Time between two queries for fleet state.
  std::chrono::milliseconds FleetSyncInterval() const;
  // Addresses of the daemons to ask for fleet state, the preferred first.
  std::vector<std::string> FleetSyncSources() const;
  // Whether this daemon should read the key-value service itself.
  bool ShouldReadStore() const;
  // Returns a delay below `longest` that depends on the VM's name.
  std::chrono::milliseconds StaggeredDelay(
      std::chrono::milliseconds longest) const;
  void UpdateRetiring(const KvRange& operator_keys);
  void StartRetirementIfRequested();
  void DrainAndFinish(Fiber& fiber, const std::function<void()>& done);

  Loop& loop_;
  HttpClient& http_;
  VmSettings settings_;
  VmPlatform platform_;
  int metrics_port_;
  DecisionLog log_;
  std::shared_ptr<MemoryBudget> bodies_memory_;
  std::shared_ptr<MemoryBudget> answers_memory_;
  std::shared_ptr<MemoryBudget> peer_bodies_memory_;
  Metrics metrics_;
  LoopDelay loop_delay_;
  FleetView view_;
  StoreWatcher store_watcher_;
  FleetSync fleet_sync_;
  std::unique_ptr<StorageNode> storage_node_;
  std::unique_ptr<FleetStateFile> fleet_state_file_;
  std::unique_ptr<StorageMembershipManager> membership_manager_;
  std::unique_ptr<StorageClient> storage_client_;
  std::unique_ptr<PermitService> permit_service_;
  std::unique_ptr<ServerAdmission> admission_;
  std::unique_ptr<PermitClient> permit_client_;
  std::unique_ptr<CrashGuard> crash_guard_;
  std::unique_ptr<CallHandler> call_handler_;
  std::unique_ptr<HttpServer> internal_server_;
  std::unique_ptr<HttpServer> control_server_;
  std::unique_ptr<HttpServer> ready_server_;
  std::unique_ptr<HttpServer> client_server_;
  std::unique_ptr<HttpServer> metrics_server_;
  const TimePoint started_at_ = std::chrono::steady_clock::now();
  bool stopping_ = false;
  std::unique_ptr<RetirementReport> retirement_report_;  // Null: not asked.
};

}  // namespace comfreyfold

#endif  // VM_VM_DAEMON_H_
