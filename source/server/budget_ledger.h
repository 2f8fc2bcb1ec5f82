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

// Keeps every customer within its budget: takes grants from the records in
// the key-value service and lets calls reserve from them.
class BudgetLedger {
 public:
  BudgetLedger(Loop& loop,
               KvClient& kv,
               ContractStore& contracts,
               EventLog& log);

  // Starts giving back what nobody uses.
  void Start();

  // Takes `tokens` from the customer's budget. Throws CallError (not run)
  // when the budget is spent, or cannot be asked by `deadline`.
  BudgetReservation Reserve(Fiber& fiber,
                            const std::string& customer,
                            std::int64_t tokens,
                            std::chrono::steady_clock::time_point deadline);

  // Gives back everything that no call holds.
  void GiveBackAll(Fiber& fiber);

  // Gives back what this daemon does not use of the customer's budget:
  // another one needs it.
  void GiveBackUnused(Fiber& fiber, const std::string& customer);

  // Asks other daemons for what they do not use of the customer's budget;
  // returns when they have given it back.
  using RecallHook =
      std::function<void(Fiber& fiber,
                         const std::string& customer,
                         const std::vector<std::string>& daemons)>;
  void OnShortage(RecallHook hook) { recall_ = std::move(hook); }

  // A lane was taken: grants are confirmed before they are used again.
  void Distrust();

  // Names this run of the daemon in grants and journals.
  const std::string& run() const { return run_; }
  // Writes to the records so far.
  std::int64_t writes() const { return writes_; }

 private:
  struct Holding;

  std::shared_ptr<Holding> HoldingOf(const std::string& customer);
  std::shared_ptr<const Contract> UpdateTerms(Holding& holding) const;
  void Refill(Fiber& fiber, Holding& holding, std::int64_t tokens);
  bool TryRefill(Fiber& fiber, Holding& holding, std::int64_t tokens);
  void RefillAhead(const std::shared_ptr<Holding>& holding);
  void GiveBack(Fiber& fiber, Holding& holding);
  bool Rewrite(Fiber& fiber,
               Holding& holding,
               const std::function<bool(BudgetRecord&)>& change);
  void ReturnLoop(Fiber& fiber);

  Loop& loop_;
  KvClient& kv_;
  ContractStore& contracts_;
  EventLog& log_;
  std::string run_;
  std::int64_t writes_ = 0;
  std::map<std::string, std::shared_ptr<Holding>> holdings_;
  RecallHook recall_;
};

}  // namespace comfreyfold

#endif  // SERVER_BUDGET_LEDGER_H_
