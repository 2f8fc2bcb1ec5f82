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

// Releases engine memory that this daemon may have allocated after it lost the
// program's lane, for instance because it was frozen between intent and
// dispatch. The new owner may have ended the program and released its holds
// before the dispatch arrived.
class OrphanedHolds {
 public:
  // Asks the program's owner whether the program has ended. Throws when the
  // owner cannot be reached.
  using ProgramEndedQuery = std::function<bool(Fiber&, const ProgramKey&)>;

  OrphanedHolds(Loop& loop,
                EngineClient& engines,
                BackendDirectory& directory,
                EventLog& log)
      : loop_(loop), engines_(engines), directory_(directory), log_(log) {}

  void SetProgramEndedQuery(ProgramEndedQuery query) {
    program_ended_query_ = std::move(query);
  }

  // Releases the hold if the program has ended. Otherwise the program's owner
  // releases it when the program ends. Retries in the background.
  void Add(const ProgramKey& program, const std::string& backend);

 private:
  // Returns false when the owner or the engine cannot be reached.
  bool TryRelease(Fiber& fiber,
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
