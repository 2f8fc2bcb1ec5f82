#ifndef SERVER_GRANT_RECALL_H_
#define SERVER_GRANT_RECALL_H_

#include <string>
#include <vector>

#include "core/membership.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "server/budget_ledger.h"

namespace comfreyfold {

// Client and server of POST /peer/give-back (Thrift bodies), by which a daemon
// that runs out of a customer's budget asks others to give their unused tokens
// back.
class GrantRecall {
 public:
  GrantRecall(HttpClient& http,
              const Membership& membership,
              BudgetLedger& budgets)
      : http_(http), membership_(membership), budgets_(budgets) {}

  // Asks each live daemon of `daemons` in turn, and returns when each has
  // answered or timed out.
  void Ask(Fiber& fiber,
           const std::string& customer,
           const std::vector<std::string>& daemons);

  // Returns false when the request has another path.
  bool Handle(Fiber& fiber, const HttpRequest& request, HttpExchange& exchange);

 private:
  HttpClient& http_;
  const Membership& membership_;
  BudgetLedger& budgets_;
};

}  // namespace comfreyfold

#endif  // SERVER_GRANT_RECALL_H_
