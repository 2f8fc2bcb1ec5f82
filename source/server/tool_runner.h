#ifndef SERVER_TOOL_RUNNER_H_
#define SERVER_TOOL_RUNNER_H_

#include <memory>
#include <set>
#include <string>

#include "backend/tool_client.h"
#include "core/retry_policy.h"
#include "server/backend_chooser.h"
#include "server/call_journal.h"
#include "server/hold_manager.h"

namespace comfreyfold {

// Runs calls to tools and plain services: commits the intent, dispatches,
// retries and records the outcome.
class ToolRunner {
 public:
  ToolRunner(ToolClient& tools,
             BackendDirectory& directory,
             BackendChooser& chooser,
             CallJournal& journal,
             HoldManager& holds,
             RetryPolicy& retries)
      : tools_(tools),
        directory_(directory),
        chooser_(chooser),
        journal_(journal),
        holds_(holds),
        retries_(retries) {}

  // Passes the answer to the context's sink as a kDone frame. Throws CallError
  // or NotOwner.
  void Run(Fiber& fiber, CallContext& context);

 private:
  // The state of one call over all its dispatches.
  struct Attempts {
    bool intent_committed = false;
    int dispatches = 0;
    std::set<std::string> failed_servers;
    std::string server;  // Of the last dispatch.
    Verdict worst_verdict = Verdict::kNotRun;
  };

  // Chooses a server that accepts work and commits the intent to use it.
  std::unique_ptr<ServerSlot> ChooseAndCommitIntent(Fiber& fiber,
                                                    CallContext& context,
                                                    const ToolRule& rule,
                                                    Attempts& attempts);
  // Dispatches the call once. Throws BackendFailure.
  ToolResult Dispatch(Fiber& fiber,
                      CallContext& context,
                      const ToolRule& rule,
                      ServerSlot& slot);
  ToolResult RunAttempts(Fiber& fiber,
                         CallContext& context,
                         const ToolRule& rule,
                         Attempts& attempts);
  void RecordFailure(Fiber& fiber,
                     CallContext& context,
                     const Attempts& attempts);

  ToolClient& tools_;
  BackendDirectory& directory_;
  BackendChooser& chooser_;
  CallJournal& journal_;
  HoldManager& holds_;
  RetryPolicy& retries_;
};

}  // namespace comfreyfold

#endif  // SERVER_TOOL_RUNNER_H_
