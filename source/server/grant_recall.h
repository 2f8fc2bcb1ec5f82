#ifndef SERVER_GRANT_RECALL_H_
#define SERVER_GRANT_RECALL_H_

#include <string>
#include <vector>

#include "core/membership.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "server/budget_ledger.h"

namespace comfreyfold {

// Lets a daemon that is short of a customer's budget have what others hold
// of it and do not use (POST /peer/give-back, Thrift bodies).
class GrantRecall {
 public:
  GrantRecall(HttpClient& http,
              const Membership& membership,
              BudgetLedger& budgets)
      : http_(http), membership_(membership), budgets_(budgets) {}

  // Asks each of `daemons` that lives; returns when they have answered.
  void Ask(Fiber& fiber,
           const std::string& customer,
           const std::vector<std::string>& daemons);

  // False when the path is not its own.
  bool Handle(Fiber& fiber, const HttpRequest& request, HttpExchange& exchange);

 private:
  HttpClient& http_;
  const Membership& membership_;
  BudgetLedger& budgets_;
};

}  // namespace comfreyfold

#endif  // SERVER_GRANT_RECALL_H_
