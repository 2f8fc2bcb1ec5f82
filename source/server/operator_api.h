#ifndef SERVER_OPERATOR_API_H_
#define SERVER_OPERATOR_API_H_

#include <functional>
#include <string>

#include "clients/kv_client.h"
#include "core/membership.h"
#include "log/event_log.h"
#include "log/metrics.h"
#include "net/http_server.h"
#include "server/backend_directory.h"
#include "server/budget_ledger.h"
#include "server/contract_store.h"
#include "server/lane_manager.h"
#include "server/peer_holders.h"

namespace comfreyfold {

// Read-only HTTP interface for operators: health, readiness, metrics, status
// and events. Operators change the system's behaviour only through contracts.
class OperatorApi {
 public:
  OperatorApi(const Membership& membership,
              const ContractStore& contracts,
              const BackendDirectory& backends,
              const LaneManager& lanes,
              const PeerHolders& holders,
              const BudgetLedger& budgets,
              const KvClient& kv,
              const EventLog& log,
              Metrics& metrics);

  // Answers a request. Returns false when the path belongs to another
  // interface.
  bool Handle(const HttpRequest& request, HttpExchange& exchange);

  // True when a load balancer may send client calls to this daemon.
  bool ready() const;

 private:
  void AddGauges();
  std::string Status() const;
  std::string Events(const HttpRequest& request) const;

  const Membership& membership_;
  const ContractStore& contracts_;
  const BackendDirectory& backends_;
  const LaneManager& lanes_;
  const PeerHolders& holders_;
  const BudgetLedger& budgets_;
  const KvClient& kv_;
  const EventLog& log_;
  Metrics& metrics_;
};

}  // namespace comfreyfold

#endif  // SERVER_OPERATOR_API_H_
