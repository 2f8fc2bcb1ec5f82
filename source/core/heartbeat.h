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

// The state that a daemon reports about itself to its peers.
struct Heartbeat {
  std::string daemon;
  std::string address;  // ip:port
  std::string data_centre;
  bool draining = false;
  std::vector<OwnedLane> lanes;
  std::int64_t contracts_revision = 0;
  std::int64_t clock = 0;  // Hybrid logical clock.
  std::string spool;       // Id of its block spool; empty if it has none.
  // Incremented only by the daemon itself, to refute a report of its death.
  std::int64_t incarnation = 0;
};

// Reports that a daemon could not be reached, with the last known incarnation.
struct DeadMember {
  std::string daemon;
  std::int64_t incarnation = 0;
};

// Exchanged between two daemons several times a second. Contains the sender's
// own heartbeat and, in a large fleet, recent updates about other daemons.
struct MemberMessage {
  Heartbeat sender;
  std::vector<Heartbeat> news;
  std::vector<DeadMember> dead;
};

}  // namespace comfreyfold

#endif  // CORE_HEARTBEAT_H_
