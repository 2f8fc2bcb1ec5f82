#ifndef SERVER_LANE_COMPACTOR_H_
#define SERVER_LANE_COMPACTOR_H_

#include <chrono>
#include <map>

#include "server/lane_manager.h"

namespace comfreyfold {

// Compacts the journals of the lanes owned by this daemon: removes programs
// whose retention time is over, and saves snapshots that are due.
class LaneCompactor {
 public:
  LaneCompactor(Loop& loop, LaneManager& lanes, EventLog& log)
      : loop_(loop), lanes_(lanes), log_(log) {}

  void Start();

 private:
  using TimePoint = std::chrono::steady_clock::time_point;
  void CompactAll(Fiber& fiber);
  void Compact(Fiber& fiber, LaneOwner& lane);
  std::vector<LaneEntry> ExpiredPrograms(const LaneOwner& lane);

  Loop& loop_;
  LaneManager& lanes_;
  EventLog& log_;
  // When this daemon first saw that the program had ended and that no backend
  // server held memory for it.
  std::map<ProgramKey, TimePoint> ended_since_;
};

}  // namespace comfreyfold

#endif  // SERVER_LANE_COMPACTOR_H_
