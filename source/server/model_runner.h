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

// Runs the model turns of programs on engines: reserves the token budget,
// commits the intent, dispatches, retries and records the outcome.
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

  // Passes the answer to the context's sink up to its kDone frame. Throws
  // CallError or NotOwner.
  void Run(Fiber& fiber, CallContext& context);

 private:
  // The state of one model turn over all its dispatches.
  struct Turn {
    LaneEntry intent;
    EngineCall call;
    TurnSize size;
    std::int64_t budget_tokens = 0;  // The most that one dispatch may use.
    std::int64_t spent_tokens = 0;   // What failed dispatches may have used.
    bool intent_committed = false;
    bool streamed = false;  // Some text was sent to the caller.
    int dispatches = 0;
    std::set<std::string> failed_servers;
    Verdict worst_verdict = Verdict::kNotRun;
    // Engines that may hold KV cache memory for this turn.
    std::set<std::string> dispatched_to;
  };

  Turn Prepare(Fiber& fiber, CallContext& context);
  // Chooses an engine that accepts work and commits the intent to use it.
  std::unique_ptr<ServerSlot> ChooseAndCommitIntent(Fiber& fiber,
                                                    CallContext& context,
                                                    Turn& turn);
  std::unique_ptr<ServerSlot> Choose(Fiber& fiber,
                                     CallContext& context,
                                     Turn& turn);
  // Dispatches the turn once. Throws BackendFailure.
  EngineResult Dispatch(Fiber& fiber,
                        CallContext& context,
                        Turn& turn,
                        ServerSlot& slot);
  EngineResult RunAttempts(Fiber& fiber, CallContext& context, Turn& turn);
  // Waits before the next dispatch. Throws CallError when the turn must not be
  // dispatched again.
  void HandleFailure(Fiber& fiber,
                     CallContext& context,
                     Turn& turn,
                     const BackendFailure& failure);
  void RecordFailure(Fiber& fiber, CallContext& context, const Turn& turn);
  // Returns the engine where an earlier owner's dispatch of the same call may
  // still be running, or null when there is none.
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
