#ifndef SERVER_LANE_COUNT_H_
#define SERVER_LANE_COUNT_H_

#include <stdexcept>

#include "clients/kv_client.h"

namespace comfreyfold {

// Thrown when the fleet was set up with another number of lanes.
class LaneCountMismatch : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Agrees with the fleet on the number of lanes: the fleet's first daemon writes
// it to the key-value service, and every later one compares its own setting.
// Throws LaneCountMismatch or KvUnavailable.
void AgreeOnLaneCount(Fiber& fiber, KvClient& kv, int lanes);

}  // namespace comfreyfold

#endif  // SERVER_LANE_COUNT_H_
