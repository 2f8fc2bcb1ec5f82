#ifndef CORE_LOAD_FOLLOWERS_H_
#define CORE_LOAD_FOLLOWERS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time_point.h"

namespace comfreyfold {

struct FollowerSettings {
  int followers_per_server = 2;  // Of each server.
  // With no more daemons than this, each follows every server.
  int every_daemon_follows_up_to = 9;
};

// A server whose load may be asked for.
struct PolledServer {
  std::string id;
  bool in_use = false;  // Calls of this daemon run there.
  std::optional<TimePoint> last_polled;
};

// Shares out the reading of servers' load reports among the daemons, by
// rendezvous hashing. Who follows a server asks it every round and tells the
// others of changes; the others ask it now and then.
class LoadFollowers {
 public:
  LoadFollowers(const std::string& self, const FollowerSettings& settings);

  // The daemons that live, this one included or not.
  void SetDaemons(const std::vector<std::string>& daemons);

  // Whether this daemon follows `server`.
  bool Follows(const std::string& server) const;

  // The servers to ask in this round.
  std::vector<std::string> ServersToPoll(
      const std::vector<PolledServer>& servers,
      TimePoint now) const;

  // How long a report of a server that is not followed here counts.
  static constexpr std::chrono::seconds kReportLifetime{5};

 private:
  FollowerSettings settings_;
  std::uint64_t self_;
  std::vector<std::string> names_;
  std::vector<std::uint64_t> others_;          // Hashes of the other daemons.
  mutable std::map<std::string, bool> known_;  // By server.
};

}  // namespace comfreyfold

#endif  // CORE_LOAD_FOLLOWERS_H_
