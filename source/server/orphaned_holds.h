#ifndef SERVER_ORPHANED_HOLDS_H_
#define SERVER_ORPHANED_HOLDS_H_

#include <functional>
#include <string>

#include "backend/engine_client.h"
#include "core/lane_state.h"
#include "log/event_log.h"
#include "net/loop.h"
#include "server/backend_directory.h"

namespace comfreyfold {

// Holds that this daemon may have made after it lost the program's lane,
// as when it was frozen between intent and dispatch: the new owner may have
// ended the program and released it before the dispatch arrived.
class OrphanedHolds {
 public:
  // Whether the program has ended, as its owner says. Throws when the owner
  // cannot be asked.
  using ProgramEndedQuery = std::function<bool(Fiber&, const ProgramKey&)>;

  OrphanedHolds(Loop& loop,
                EngineClient& engines,
                BackendDirectory& directory,
                EventLog& log)
      : loop_(loop), engines_(engines), directory_(directory), log_(log) {}

  void SetProgramEndedQuery(ProgramEndedQuery query) {
    program_ended_query_ = std::move(query);
  }

  // Releases the hold if the program has ended; otherwise its owner will.
  void Add(const ProgramKey& program, const std::string& backend);

 private:
  bool Settle(Fiber& fiber,
              const ProgramKey& program,
              const std::string& backend);

  Loop& loop_;
  EngineClient& engines_;
  BackendDirectory& directory_;
  EventLog& log_;
  ProgramEndedQuery program_ended_query_;
};

}  // namespace comfreyfold

#endif  // SERVER_ORPHANED_HOLDS_H_
