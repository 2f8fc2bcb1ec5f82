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
#include "server/engine_steward.h"
#include "server/grant_recall.h"
#include "server/hold_releaser.h"
#include "server/lane_manager.h"
#include "server/lane_tidier.h"
#include "server/operator_api.h"
#include "server/peer_api.h"
#include "server/peer_holders.h"
#include "server/peer_links.h"
#include "server/peer_secret.h"
#include "server/program_listing.h"
#include "server/program_reaper.h"
#include "server/server_announcer.h"
#include "server/settings.h"
#include "server/stray_holds.h"
#include "server/urgent_sender.h"

namespace comfreyfold {

// One daemon: every role in one process, none set aside.
class Daemon {
 public:
  Daemon(Loop& loop, Settings settings);

  // Listens and starts every role; returns the address bound. `on_refused`
  // gets the reason when this daemon cannot be one of the fleet.
  std::string Start(std::function<void(const std::string&)> on_refused);

  // A planned stop: no new work, lanes handed over, requests in flight
  // answered. Calls `on_drained` at the end.
  void Drain(std::function<void()> on_drained);

 private:
  void Handle(Fiber& fiber, const HttpRequest& request, HttpExchange& exchange);
  void ConnectMetrics();
  void RefreshDecisions();
  void DrainAll(Fiber& fiber);
  void AgreeOnLanes(Fiber& fiber);
  // Whether the program has ended, as its owner says.
  bool HasEnded(Fiber& fiber, const ProgramKey& program);

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
  std::unique_ptr<BlockSpool> spool_;  // Null without a data folder.
  Membership membership_;
  PeerHolders holders_;
  ContractStore contracts_;
  ContractPeers contract_peers_;
  BackendDirectory backends_;
  ServerAnnouncer announcer_;
  LaneManager lanes_;
  LaneTidier tidier_;
  EngineClient engines_;
  ToolClient tools_;
  DispatchQueue engine_queue_;
  DispatchQueue service_queue_;
  BackendChooser chooser_;
  HoldKeeper holds_;
  RetryPolicy retries_;
  OutcomeRelay relay_;
  CallJournal journal_;
  CallLimits limits_;
  CustomerSlots slots_;
  ProgramListing listing_;
  ProgramReaper reaper_;
  BudgetLedger budgets_;
  StrayHolds strays_;
  GrantSealer sealer_;
  GrantRecall recall_;
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
  PeerLinks peers_;
  OperatorApi operator_api_;
  EngineOrderClient orders_;
  WeightStoreClient weights_;
  OrderFence fence_;
  EngineSteward steward_;
};

}  // namespace comfreyfold

#endif  // SERVER_DAEMON_H_
