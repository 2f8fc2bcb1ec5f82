#ifndef SERVER_PLACEMENT_RECONCILER_H_
#define SERVER_PLACEMENT_RECONCILER_H_

#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "backend/engine_order_client.h"
#include "clients/weight_store_client.h"
#include "core/membership.h"
#include "log/event_log.h"
#include "server/backend_directory.h"
#include "server/contract_store.h"
#include "server/order_fence.h"

namespace comfreyfold {

// Reconciles the engines with the placements that operators configured, by
// ordering each engine to load what it lacks. Rendezvous hashing assigns each
// engine to one live daemon. Two daemons may both consider themselves assigned;
// the order fence then serializes their orders.
class PlacementReconciler {
 public:
  PlacementReconciler(Loop& loop,
                      KvClient& kv,
                      EngineOrderClient& orders,
                      WeightStoreClient& weights,
                      OrderFence& fence,
                      Membership& membership,
                      BackendDirectory& directory,
                      ContractStore& contracts,
                      EventLog& log,
                      std::chrono::milliseconds interval);

  void Start();

 private:
  // The placements at one revision of the contracts.
  struct Plan {
    std::int64_t revision = 0;
    std::vector<Placement> placements;
  };

  void ReconcileEngines(Fiber& fiber);
  void ReadPlacements(Fiber& fiber);
  std::vector<std::string> UsableEngines() const;
  bool IsAssignedHere(const std::string& engine) const;
  void ReconcileEngine(Fiber& fiber, const std::string& id);
  void SendOrder(Fiber& fiber,
                 const std::string& id,
                 const Placement& placement);
  void SendWithPermit(Fiber& fiber,
                      const std::string& id,
                      const OrderPermit& permit,
                      EngineOrder order);
  void LogEvent(const char* event,
                const std::string& id,
                const std::string& detail);

  Loop& loop_;
  KvClient& kv_;
  EngineOrderClient& orders_;
  WeightStoreClient& weights_;
  OrderFence& fence_;
  Membership& membership_;
  BackendDirectory& directory_;
  ContractStore& contracts_;
  EventLog& log_;
  std::chrono::milliseconds interval_;
  Plan plan_;
  std::set<std::string> engines_in_progress_;
};

}  // namespace comfreyfold

#endif  // SERVER_PLACEMENT_RECONCILER_H_
