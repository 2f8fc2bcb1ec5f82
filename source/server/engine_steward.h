#ifndef SERVER_ENGINE_STEWARD_H_
#define SERVER_ENGINE_STEWARD_H_

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

// Brings what the operators placed onto the engines that fall to this
// daemon: the first choice among the live daemons by rendezvous hashing.
// Two daemons may both think so; the fence keeps their orders apart.
class EngineSteward {
 public:
  EngineSteward(Loop& loop,
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
  // The placements as they stood at one revision of the contracts.
  struct Plan {
    std::int64_t revision = 0;
    std::vector<Placement> placements;
  };

  void Round(Fiber& fiber);
  void ReadPlan(Fiber& fiber);
  std::vector<std::string> Engines() const;
  bool Mine(const std::string& engine) const;
  void Tend(Fiber& fiber, const std::string& id);
  void Order(Fiber& fiber, const std::string& id, const Placement& placement);
  void Carry(Fiber& fiber,
             const std::string& id,
             const OrderPermit& permit,
             EngineOrder order);
  void Note(const char* event,
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
  std::set<std::string> busy_;
};

}  // namespace comfreyfold

#endif  // SERVER_ENGINE_STEWARD_H_
