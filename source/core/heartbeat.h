#ifndef CORE_HEARTBEAT_H_
#define CORE_HEARTBEAT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace comfreyfold {

struct OwnedLane {
  int lane = 0;
  std::int64_t epoch = 0;
};

// What each daemon tells each other, several times a second.
struct Heartbeat {
  std::string daemon;
  std::string address;  // ip:port
  std::string data_centre;
  bool draining = false;
  std::vector<OwnedLane> lanes;
  std::int64_t contracts_revision = 0;
  std::int64_t clock = 0;  // Hybrid logical clock.
  bool has_data_folder = false;
};

}  // namespace comfreyfold

#endif  // CORE_HEARTBEAT_H_
