#ifndef SERVER_MODEL_RUNNER_H_
#define SERVER_MODEL_RUNNER_H_

#include <memory>
#include <set>
#include <string>

#include "backend/engine_client.h"
#include "core/retry_policy.h"
#include "server/backend_chooser.h"
#include "server/budget_ledger.h"
#include "server/call_journal.h"
#include "server/call_limits.h"
#include "server/hold_manager.h"
#include "server/orphaned_holds.h"

namespace comfreyfold {

// Runs the model turns of programs.
class ModelRunner {
 public:
  ModelRunner(Loop& loop,
              OrphanedHolds& orphaned_holds,
              EngineClient& engines,
              BackendDirectory& directory,
              BackendChooser& chooser,
              CallJournal& journal,
              CallLimits& limits,
              BudgetLedger& budgets,
              HoldManager& holds,
              RetryPolicy& retries,
              const DecisionSettings& settings)
      : loop_(loop),
        orphaned_holds_(orphaned_holds),
        engines_(engines),
        directory_(directory),
        chooser_(chooser),
        journal_(journal),
        limits_(limits),
        budgets_(budgets),
        holds_(holds),
        retries_(retries),
        settings_(settings) {}

  // Ends with a kDone frame, or throws CallError or NotOwner.
  void Run(Fiber& fiber, CallContext& context);

 private:
  // One model turn over all its dispatches.
  struct Turn {
    LaneEntry begun;
    EngineCall call;
    TurnSize size;
    std::int64_t budget_tokens = 0;  // Of one dispatch, at most.
    std::int64_t spent_tokens = 0;   // That failed dispatches may have used.
    bool committed = false;          // An intent to run it.
    bool streamed = false;           // Some text went to the caller.
    int attempts = 0;
    std::set<std::string> failed;  // Engines.
    Verdict worst = Verdict::kNotRun;
    // Engines that may hold memory for this turn.
    std::set<std::string> dispatched_to;
  };

  Turn Prepare(Fiber& fiber, CallContext& context);
  // Chooses an engine that takes work and commits the intent to use it.
  std::unique_ptr<ServerSlot> Begin(Fiber& fiber,
                                    CallContext& context,
                                    Turn& turn);
  std::unique_ptr<ServerSlot> Choose(Fiber& fiber,
                                     CallContext& context,
                                     Turn& turn);
  // One dispatch. Throws BackendFailure.
  EngineResult Dispatch(Fiber& fiber,
                        CallContext& context,
                        Turn& turn,
                        ServerSlot& slot);
  EngineResult RunAttempts(Fiber& fiber, CallContext& context, Turn& turn);
  // Waits before the next dispatch, or throws CallError for good.
  void AfterFailure(Fiber& fiber,
                    CallContext& context,
                    Turn& turn,
                    const BackendFailure& failure);
  void RecordFailure(Fiber& fiber, CallContext& context, const Turn& turn);
  // Where an earlier owner's dispatch of the same call may still stream;
  // null when there is none.
  const Backend* BackendToResume(const CallContext& context);
  void Cancel(const std::string& address, const std::string& request_id);

  Loop& loop_;
  OrphanedHolds& orphaned_holds_;
  EngineClient& engines_;
  BackendDirectory& directory_;
  BackendChooser& chooser_;
  CallJournal& journal_;
  CallLimits& limits_;
  BudgetLedger& budgets_;
  HoldManager& holds_;
  RetryPolicy& retries_;
  const DecisionSettings& settings_;
};

}  // namespace comfreyfold

#endif  // SERVER_MODEL_RUNNER_H_
