#ifndef CORE_HEARTBEAT_H_
#define CORE_HEARTBEAT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace comfreyfold {

struct OwnedLane {
  int lane = 0;
  std::int64_t epoch = 0;
  bool operator==(const OwnedLane&) const = default;
};

// What a daemon tells of itself.
struct Heartbeat {
  std::string daemon;
  std::string address;  // ip:port
  std::string data_centre;
  bool draining = false;
  std::vector<OwnedLane> lanes;
  std::int64_t contracts_revision = 0;
  std::int64_t clock = 0;  // Hybrid logical clock.
  std::string spool;       // Id of its block spool; empty: it has none.
  // Raised by the daemon itself, to deny that it is dead.
  std::int64_t incarnation = 0;
};

// A daemon that could not be reached, in the incarnation it was known by.
struct DeadMember {
  std::string daemon;
  std::int64_t incarnation = 0;
};

// What two daemons exchange several times a second: each its own heartbeat
// and, in a large fleet, some news of others.
struct MemberMessage {
  Heartbeat sender;
  std::vector<Heartbeat> news;
  std::vector<DeadMember> dead;
};

}  // namespace comfreyfold

#endif  // CORE_HEARTBEAT_H_
