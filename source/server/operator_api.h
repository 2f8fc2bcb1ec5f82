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

// What operators read: health, readiness, metrics, status and events. It
// changes nothing; operators drive the system by contracts only.
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

  // False when the path is not one of its own.
  bool Handle(const HttpRequest& request, HttpExchange& exchange);

  // True when callers may be sent here.
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
