#ifndef SERVER_MODEL_RUNNER_H_
#define SERVER_MODEL_RUNNER_H_

#include "backend/engine_client.h"
#include "server/backend_chooser.h"
#include "server/call_journal.h"

namespace comfreyfold {

// Runs the model turns of programs.
class ModelRunner {
 public:
  ModelRunner(EngineClient& engines,
              BackendDirectory& directory,
              BackendChooser& chooser,
              CallJournal& journal)
      : engines_(engines),
        directory_(directory),
        chooser_(chooser),
        journal_(journal) {}

  // Ends with a kDone frame, or throws CallError or NotOwner.
  void Run(Fiber& fiber, CallContext& context);

 private:
  EngineClient& engines_;
  BackendDirectory& directory_;
  BackendChooser& chooser_;
  CallJournal& journal_;
};

}  // namespace comfreyfold

#endif  // SERVER_MODEL_RUNNER_H_
