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

// Runs the calls to tools and plain services.
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

  // Ends with a kDone frame, or throws CallError or NotOwner.
  void Run(Fiber& fiber, CallContext& context);

 private:
  // How one call fares over its dispatches.
  struct Attempts {
    bool begun = false;  // An intent is committed.
    int made = 0;
    std::set<std::string> failed;  // Servers.
    std::string server;            // Of the last dispatch.
    Verdict worst = Verdict::kNotRun;
  };

  // Chooses a server that takes work and commits the intent to use it.
  std::unique_ptr<ServerSlot> Begin(Fiber& fiber,
                                    CallContext& context,
                                    const ToolRule& rule,
                                    Attempts& attempts);
  // One dispatch. Throws BackendFailure.
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
