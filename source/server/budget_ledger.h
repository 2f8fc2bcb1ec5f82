#ifndef SERVER_BUDGET_LEDGER_H_
#define SERVER_BUDGET_LEDGER_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "clients/kv_client.h"
#include "core/budget_account.h"
#include "core/contract.h"
#include "log/event_log.h"
#include "net/loop.h"
#include "server/budget_reservation.h"
#include "server/contract_store.h"

namespace comfreyfold {

// Enforces the customers' token budgets: takes grants from the budget records
// in the key-value service, and lets calls reserve tokens from these grants.
class BudgetLedger {
 public:
  BudgetLedger(Loop& loop,
               KvClient& kv,
               ContractStore& contracts,
               EventLog& log);

  // Starts giving unused tokens back to the budget records periodically.
  void Start();

  // Reserves `tokens` of the customer's budget. Throws CallError (not run) when
  // the budget is spent or its record cannot be reached, or when calls in
  // flight still hold the reservable tokens at `deadline`.
  BudgetReservation Reserve(Fiber& fiber,
                            const std::string& customer,
                            std::int64_t tokens,
                            std::chrono::steady_clock::time_point deadline);

  // Gives all granted tokens that no call has reserved back to the budget
  // records.
  void GiveBackAll(Fiber& fiber);

  // Marks the customer's budget as scarce, because another daemon needs more of
  // it, and gives this daemon's unreserved tokens back if none were reserved
  // for a while.
  void GiveBackUnused(Fiber& fiber, const std::string& customer);

  // Asks `daemons` to give their unused tokens of the customer's budget back,
  // and waits for their answers.
  using RecallHook =
      std::function<void(Fiber& fiber,
                         const std::string& customer,
                         const std::vector<std::string>& daemons)>;
  // The hook runs when the budget record cannot grant enough tokens.
  void OnShortage(RecallHook hook) { recall_ = std::move(hook); }

  // Called after a lane was taken: every grant is confirmed in its record
  // before anything is reserved from it again.
  void Distrust();

  // The id of this run of the daemon in grants and journals.
  const std::string& run() const { return run_; }
  // Number of writes to budget records so far.
  std::int64_t writes() const { return writes_; }

 private:
  struct CustomerState;

  std::shared_ptr<CustomerState> StateOf(const std::string& customer);
  std::shared_ptr<const Contract> UpdateTerms(
      CustomerState& customer_state) const;
  void Refill(Fiber& fiber, CustomerState& customer_state, std::int64_t tokens);
  bool TryRefill(Fiber& fiber,
                 CustomerState& customer_state,
                 std::int64_t tokens);
  void RefillInAdvance(const std::shared_ptr<CustomerState>& customer_state);
  void GiveBack(Fiber& fiber, CustomerState& customer_state);
  bool Rewrite(Fiber& fiber,
               CustomerState& customer_state,
               const std::function<bool(BudgetRecord&)>& change);
  void ReturnLoop(Fiber& fiber);

  Loop& loop_;
  KvClient& kv_;
  ContractStore& contracts_;
  EventLog& log_;
  std::string run_;
  std::int64_t writes_ = 0;
  std::map<std::string, std::shared_ptr<CustomerState>> customer_states_;
  RecallHook recall_;
};

}  // namespace comfreyfold

#endif  // SERVER_BUDGET_LEDGER_H_
