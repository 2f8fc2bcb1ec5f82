#ifndef SERVER_TOOL_RUNNER_H_
#define SERVER_TOOL_RUNNER_H_

#include <string>

#include "backend/tool_client.h"
#include "server/backend_chooser.h"
#include "server/call_journal.h"

namespace comfreyfold {

// Runs the calls to tools and plain services.
class ToolRunner {
 public:
  ToolRunner(ToolClient& tools,
             BackendDirectory& directory,
             BackendChooser& chooser,
             CallJournal& journal)
      : tools_(tools),
        directory_(directory),
        chooser_(chooser),
        journal_(journal) {}

  // Ends with a kDone frame, or throws CallError or NotOwner.
  void Run(Fiber& fiber, CallContext& context);

 private:
  // Another server for a call whose intent is committed and that was not
  // sent; without one its outcome "not run" is committed.
  std::string ChooseAgain(Fiber& fiber, CallContext& context);

  ToolClient& tools_;
  BackendDirectory& directory_;
  BackendChooser& chooser_;
  CallJournal& journal_;
};

}  // namespace comfreyfold

#endif  // SERVER_TOOL_RUNNER_H_
