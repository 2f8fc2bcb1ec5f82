#ifndef SERVER_PROGRAM_REAPER_H_
#define SERVER_PROGRAM_REAPER_H_

#include "log/event_log.h"
#include "server/contract_store.h"
#include "server/lane_manager.h"

namespace comfreyfold {

// Ends programs that exceed the contract's total time or idle time, so that
// their engine memory is freed.
class ProgramReaper {
 public:
  ProgramReaper(Loop& loop,
                LaneManager& lanes,
                ContractStore& contracts,
                EventLog& log)
      : loop_(loop), lanes_(lanes), contracts_(contracts), log_(log) {}

  void Start();

 private:
  void EndExpiredPrograms(Fiber& fiber, LaneOwner& owner);

  Loop& loop_;
  LaneManager& lanes_;
  ContractStore& contracts_;
  EventLog& log_;
};

}  // namespace comfreyfold

#endif  // SERVER_PROGRAM_REAPER_H_
