#ifndef SERVER_HOLD_RELEASER_H_
#define SERVER_HOLD_RELEASER_H_

#include "backend/engine_client.h"
#include "log/event_log.h"
#include "server/backend_directory.h"
#include "server/lane_manager.h"

namespace comfreyfold {

// Frees the engine memory of ended programs in the lanes owned here, and
// goes on until each engine has confirmed.
class HoldReleaser {
 public:
  HoldReleaser(EngineClient& engines,
               LaneManager& lanes,
               BackendDirectory& directory,
               EventLog& log)
      : engines_(engines), lanes_(lanes), directory_(directory), log_(log) {}

  // Tries every hold that is due once.
  void ReleaseOnce(Fiber& fiber);

 private:
  EngineClient& engines_;
  LaneManager& lanes_;
  BackendDirectory& directory_;
  EventLog& log_;
};

}  // namespace comfreyfold

#endif  // SERVER_HOLD_RELEASER_H_
