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
  int followers_per_server = 2;
  // With at most this many daemons each daemon follows every server.
  int every_daemon_follows_up_to = 9;
};

// A server whose load report can be requested.
struct PolledServer {
  std::string id;
  bool in_use = false;  // Whether calls of this daemon run there.
  std::optional<TimePoint> last_polled;
};

// Distributes the polling of servers' load reports over the daemons by
// rendezvous hashing. The followers of a server poll it in every round and
// announce changes to the other daemons, which poll it only occasionally.
class LoadFollowers {
 public:
  LoadFollowers(const std::string& self, const FollowerSettings& settings);

  // Sets the live daemons. The list may leave out this daemon.
  void SetDaemons(const std::vector<std::string>& daemons);

  // Whether this daemon follows `server`.
  bool Follows(const std::string& server) const;

  // The servers to poll in this round.
  std::vector<std::string> ServersToPoll(
      const std::vector<PolledServer>& servers,
      TimePoint now) const;

  // How long a report is valid if this daemon does not follow the server.
  static constexpr std::chrono::seconds kReportLifetime{5};

 private:
  FollowerSettings settings_;
  std::uint64_t own_hash_;
  std::vector<std::string> daemons_;
  std::vector<std::uint64_t> other_hashes_;      // Of the other daemons.
  mutable std::map<std::string, bool> follows_;  // By server; a cache.
};

}  // namespace comfreyfold

#endif  // CORE_LOAD_FOLLOWERS_H_
