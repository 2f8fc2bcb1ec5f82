#ifndef SERVER_LANE_COMPACTOR_H_
#define SERVER_LANE_COMPACTOR_H_

#include <chrono>
#include <map>

#include "server/lane_manager.h"

namespace comfreyfold {

// Keeps the journals of the lanes owned here short: lets programs go that
// ended long ago, and saves snapshots that are due.
class LaneCompactor {
 public:
  LaneCompactor(Loop& loop, LaneManager& lanes, EventLog& log)
      : loop_(loop), lanes_(lanes), log_(log) {}

  void Start();

 private:
  using TimePoint = std::chrono::steady_clock::time_point;
  void TidyOnce(Fiber& fiber);
  void Tidy(Fiber& fiber, LaneOwner& lane);
  std::vector<LaneEntry> DueToForget(const LaneOwner& lane);

  Loop& loop_;
  LaneManager& lanes_;
  EventLog& log_;
  // When this daemon first saw each program ended with nothing held.
  std::map<ProgramKey, TimePoint> ended_;
};

}  // namespace comfreyfold

#endif  // SERVER_LANE_COMPACTOR_H_
