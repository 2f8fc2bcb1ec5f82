#ifndef SERVER_PEER_LINKS_H_
#define SERVER_PEER_LINKS_H_

#include <chrono>
#include <functional>
#include <optional>
#include <set>
#include <string>

#include "clients/kv_client.h"
#include "core/membership.h"
#include "core/probe_ring.h"
#include "log/event_log.h"
#include "net/http_client.h"

namespace comfreyfold {

struct PeerLinkOptions {
  std::chrono::milliseconds interval{300};
  std::chrono::seconds lease{30};
  // With more peers than this each round probes only some of them.
  int every_peer_up_to = 5;
  int probes = 2;
};

// Finds the other daemons through leased keys in the key-value service and
// exchanges heartbeats with them.
class PeerLinks {
 public:
  PeerLinks(Loop& loop,
            HttpClient& http,
            KvClient& kv,
            EventLog& log,
            Membership& membership,
            const PeerLinkOptions& options);

  // `on_round` runs after each round of heartbeats.
  void Start(std::function<void()> on_round);

  // True once every daemon on the list of members was heard of, or had time
  // to be. Before that, lanes look as if nobody owned them.
  bool KnowsPeers(std::chrono::milliseconds patience) const;

  // Returns once this daemon may ask the service for what can wait a little:
  // a large fleet that starts at once takes turns.
  void AwaitTurn(Fiber& fiber);

  // Takes this daemon off the list of members.
  void Leave(Fiber& fiber);

  // Asks `daemon` itself; false also when it does not answer. Throws
  // KvUnavailable when its address is not known and cannot be looked up.
  bool StillOwns(Fiber& fiber,
                 const std::string& daemon,
                 const OwnedLane& lane);

  // Tells every peer the newest state at once.
  void Announce();

 private:
  void Register(Fiber& fiber);
  void FollowMembers(Fiber& fiber);
  void ReadMembers(Fiber& fiber);
  void SetTurn(std::chrono::milliseconds delay);
  void Beat(Fiber& fiber);
  void StartExchanges(const std::vector<std::string>& addresses);
  void Probe(Fiber& fiber, const std::string& address);
  void Accuse(const std::string& daemon);
  std::string DaemonAt(const std::string& address) const;
  std::string AddressOf(Fiber& fiber, const std::string& daemon);
  bool Exchange(Fiber& fiber,
                const std::string& address,
                std::chrono::milliseconds timeout);

  Loop& loop_;
  HttpClient& http_;
  KvClient& kv_;
  EventLog& log_;
  Membership& membership_;
  PeerLinkOptions options_;
  ProbeRing ring_;
  std::function<void()> on_round_;
  std::set<std::string> addresses_;
  std::set<std::string> busy_;
  std::int64_t member_lease_ = 0;  // In the key-value service; 0: none.
  bool left_ = false;
  bool listed_ = false;
  std::chrono::steady_clock::time_point listed_at_;
  bool registered_ = false;  // At this address, by the list.
  Condition turn_set_;
  std::optional<std::chrono::steady_clock::time_point> turn_;
};

}  // namespace comfreyfold

#endif  // SERVER_PEER_LINKS_H_
