#ifndef SERVER_MODEL_RUNNER_H_
#define SERVER_MODEL_RUNNER_H_

#include <memory>
#include <string>

#include "backend/engine_client.h"
#include "server/backend_chooser.h"
#include "server/budget_ledger.h"
#include "server/call_journal.h"
#include "server/call_limits.h"
#include "server/stray_holds.h"

namespace comfreyfold {

// Runs the model turns of programs.
class ModelRunner {
 public:
  ModelRunner(Loop& loop,
              StrayHolds& strays,
              EngineClient& engines,
              BackendDirectory& directory,
              BackendChooser& chooser,
              CallJournal& journal,
              CallLimits& limits,
              BudgetLedger& budgets)
      : loop_(loop),
        strays_(strays),
        engines_(engines),
        directory_(directory),
        chooser_(chooser),
        journal_(journal),
        limits_(limits),
        budgets_(budgets) {}

  // Ends with a kDone frame, or throws CallError or NotOwner.
  void Run(Fiber& fiber, CallContext& context);

 private:
  // Where a call goes, counted against the engine until it ends.
  struct Placed {
    std::unique_ptr<InFlight> in_flight;
    std::string address;
    bool resume = false;
  };

  // Chooses an engine that takes work and commits the intent to use it.
  Placed Begin(Fiber& fiber, CallContext& context, LaneEntry& begun);
  void RecordNotRun(Fiber& fiber, CallContext& context);
  // Where an earlier owner's dispatch of the same call may still stream;
  // null when there is none.
  const Backend* BackendToResume(const CallContext& context);
  void Cancel(const std::string& address, const std::string& request_id);

  Loop& loop_;
  StrayHolds& strays_;
  EngineClient& engines_;
  BackendDirectory& directory_;
  BackendChooser& chooser_;
  CallJournal& journal_;
  CallLimits& limits_;
  BudgetLedger& budgets_;
};

}  // namespace comfreyfold

#endif  // SERVER_MODEL_RUNNER_H_
