#ifndef SERVER_MODEL_RUNNER_H_
#define SERVER_MODEL_RUNNER_H_

#include "backend/engine_client.h"
#include "server/backend_chooser.h"
#include "server/budget_ledger.h"
#include "server/call_journal.h"
#include "server/call_limits.h"

namespace comfreyfold {

// Runs the model turns of programs.
class ModelRunner {
 public:
  ModelRunner(Loop& loop,
              EngineClient& engines,
              BackendDirectory& directory,
              BackendChooser& chooser,
              CallJournal& journal,
              CallLimits& limits,
              BudgetLedger& budgets)
      : loop_(loop),
        engines_(engines),
        directory_(directory),
        chooser_(chooser),
        journal_(journal),
        limits_(limits),
        budgets_(budgets) {}

  // Ends with a kDone frame, or throws CallError or NotOwner.
  void Run(Fiber& fiber, CallContext& context);

 private:
  // Where an earlier owner's dispatch of the same call may still stream;
  // null when there is none.
  const Backend* BackendToResume(const CallContext& context);
  void Cancel(const std::string& address, const std::string& request_id);

  Loop& loop_;
  EngineClient& engines_;
  BackendDirectory& directory_;
  BackendChooser& chooser_;
  CallJournal& journal_;
  CallLimits& limits_;
  BudgetLedger& budgets_;
};

}  // namespace comfreyfold

#endif  // SERVER_MODEL_RUNNER_H_
