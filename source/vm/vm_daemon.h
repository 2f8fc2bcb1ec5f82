#ifndef VM_VM_DAEMON_H_
#define VM_VM_DAEMON_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "clients/kv_store.h"
#include "fleet/decision_log.h"
#include "fleet/fleet_sync.h"
#include "fleet/fleet_view.h"
#include "fleet/store_watcher.h"
#include "fleet/vm_settings.h"
#include "front/call_handler.h"
#include "front/dialect.h"
#include "front/server_gate.h"
#include "log/metrics.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "storage/storage_client.h"
#include "storage/storage_membership_manager.h"
#include "storage/storage_node.h"

namespace comfreyfold {

// Where a deployment says which VMs are to be emptied of their disk.
struct RetireKeys {
  std::string request_prefix;  // Followed by the VM's name.
  std::string status_prefix;   // Likewise.
  std::function<std::string(bool done)> encode_status;
};

// How a deployment is spoken to.
struct VmPlatform {
  KvStore& store;
  StoreLayout layout;
  RetireKeys retire;
  Dialect dialect;
};

// One process of a deployment: serves clients where it is given an address
// for them, and keeps turns and budgets where it is given a disk.
class VmDaemon {
 public:
  VmDaemon(Loop& loop,
           HttpClient& http,
           VmSettings settings,
           VmPlatform platform,
           int metrics_port);
  ~VmDaemon();

  // Throws std::runtime_error when it cannot listen or read its disk.
  void Start();

  // New settings after a change of their file.
  void Reload(const VmSettings& settings);

  // Planned stop: leaves the balancer, finishes what is in flight, and calls
  // `done`.
  void Stop(std::function<void()> done);

 private:
  void StartStorage();
  void StartClients();
  void StartMetrics();
  void HandleInternal(Fiber& fiber,
                      const HttpRequest& request,
                      HttpExchange& exchange);
  void Relay(Fiber& fiber, const HttpRequest& request, HttpExchange& exchange);
  void HandleReady(HttpExchange& exchange) const;
  bool Ready() const;
  void ApplyLimits();
  HttpLimits ClientBounds() const;
  const std::string& PeerAddress() const;
  // Between two readings of the registrations.
  std::chrono::milliseconds ReadEvery() const;
  std::vector<std::string> NewsSources() const;
  bool ShouldReadStore() const;
  std::chrono::milliseconds OwnShareOf(std::chrono::milliseconds time) const;
  void NoteOperators(const KvRange& operators);
  void WatchRetirement();
  void ReportRetirement(Fiber& fiber, bool done);
  void AwaitIdle(Fiber& fiber, const std::function<void()>& done);

  Loop& loop_;
  HttpClient& http_;
  VmSettings settings_;
  VmPlatform platform_;
  int metrics_port_;
  DecisionLog log_;
  Metrics metrics_;
  FleetView view_;
  StoreWatcher store_watcher_;
  FleetSync sync_;
  std::unique_ptr<StorageNode> storage_node_;
  std::unique_ptr<StorageMembershipManager> membership_manager_;
  std::unique_ptr<StorageClient> storage_;
  std::unique_ptr<ServerGate> gate_;
  std::unique_ptr<CallHandler> calls_;
  std::unique_ptr<HttpServer> internal_server_;
  std::unique_ptr<HttpServer> control_server_;
  std::unique_ptr<HttpServer> ready_server_;
  std::unique_ptr<HttpServer> client_server_;
  std::unique_ptr<HttpServer> metrics_server_;
  const TimePoint started_at_ = std::chrono::steady_clock::now();
  bool stopping_ = false;
  bool retiring_ = false;
};

}  // namespace comfreyfold

#endif  // VM_VM_DAEMON_H_
