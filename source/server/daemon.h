#ifndef SERVER_DAEMON_H_
#define SERVER_DAEMON_H_

#include "clients/kv_client.h"
#include "clients/vm_list_client.h"
#include "core/membership.h"
#include "log/event_log.h"
#include "log/metrics.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "server/backend_directory.h"
#include "server/block_spool.h"
#include "server/budget_ledger.h"
#include "server/budget_reclaimer.h"
#include "server/call_router.h"
#include "server/call_runner.h"
#include "server/caller_api.h"
#include "server/contract_peers.h"
#include "server/contract_store.h"
#include "server/grant_recall.h"
#include "server/hold_releaser.h"
#include "server/lane_compactor.h"
#include "server/lane_manager.h"
#include "server/operator_api.h"
#include "server/orphaned_holds.h"
#include "server/peer_api.h"
#include "server/peer_holders.h"
#include "server/peer_links.h"
#include "server/peer_secret.h"
#include "server/placement_reconciler.h"
#include "server/program_listing.h"
#include "server/program_reaper.h"
#include "server/server_announcer.h"
#include "server/settings.h"
#include "server/urgent_sender.h"

namespace comfreyfold {

// A daemon of the fleet. Every daemon runs all roles in one process: it accepts
// client calls, owns lanes, follows backend servers and answers its peers.
class Daemon {
 public:
  Daemon(Loop& loop, Settings settings);

  // Starts to listen and starts every role. Returns the address that was bound.
  // `on_refused` is called with the reason when this daemon cannot join the
  // fleet because its lane count differs from that of the fleet.
  std::string Start(std::function<void(const std::string&)> on_refused);

  // Begins a planned stop: hands over the lanes, answers the requests in
  // flight, returns unused budget and leaves the fleet, then calls
  // `on_drained`. Lanes and requests are waited for until the drain time has
  // passed.
  void Drain(std::function<void()> on_drained);

 private:
  void Handle(Fiber& fiber, const HttpRequest& request, HttpExchange& exchange);
  void ConnectMetrics();
  // Passes the current members of the fleet to the parts that share out backend
  // servers among daemons.
  void ApplyMembership();
  void RunDrain(Fiber& fiber);
  // Lets this daemon take lanes once its lane count matches that of the fleet
  // and it has heard from its peers.
  void EnableLaneOwnership(Fiber& fiber);
  // Asks the program's owner whether the program has ended.
  bool HasProgramEnded(Fiber& fiber, const ProgramKey& program);

  Loop& loop_;
  Settings settings_;
  std::function<void(const std::string&)> on_refused_;
  PeerSecret peer_secret_;
  EventLog log_;
  Metrics metrics_;
  HttpClient http_;
  HttpServer server_;
  KvClient kv_;
  VmListClient vms_;
  std::unique_ptr<BlockSpool> spool_;  // Null if no data folder is configured.
  Membership membership_;
  PeerHolders holders_;
  ContractStore contracts_;
  ContractPeers contract_peers_;
  BackendDirectory backends_;
  ServerAnnouncer announcer_;
  LaneManager lanes_;
  LaneCompactor compactor_;
  EngineClient engines_;
  ToolClient tools_;
  DispatchQueue engine_queue_;
  DispatchQueue service_queue_;
  BackendChooser chooser_;
  HoldManager holds_;
  RetryPolicy retries_;
  OutcomeRelay outcome_relay_;
  CallJournal journal_;
  CallLimits limits_;
  CustomerSlots slots_;
  ProgramListing listing_;
  ProgramReaper reaper_;
  BudgetLedger budgets_;
  OrphanedHolds orphaned_holds_;
  GrantUseReporter grant_use_reporter_;
  GrantRecall grant_recall_;
  BudgetReclaimer reclaimer_;
  ModelRunner model_runner_;
  ToolRunner tool_runner_;
  ProgramRequests requests_;
  CallRunner runner_;
  UrgentSender urgent_;
  HoldReleaser releaser_;
  CallRouter router_;
  CallerApi caller_api_;
  PeerApi peer_api_;
  PeerLinks peer_links_;
  OperatorApi operator_api_;
  EngineOrderClient engine_orders_;
  WeightStoreClient weights_;
  OrderFence order_fence_;
  PlacementReconciler placement_reconciler_;
};

}  // namespace comfreyfold

#endif  // SERVER_DAEMON_H_
