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
  std::chrono::milliseconds interval{300};  // Between rounds of heartbeats.
  std::chrono::seconds lease{30};           // Of the key on the member list.
  // With more peers than this, a round probes only `probes` of them.
  int every_peer_up_to = 5;
  int probes = 2;
};

// Finds the other daemons through the member list, which consists of leased
// keys in the key-value service, and exchanges heartbeats with them.
class PeerLinks {
 public:
  PeerLinks(Loop& loop,
            HttpClient& http,
            KvClient& kv,
            EventLog& log,
            Membership& membership,
            const PeerLinkOptions& options);

  // `on_round` is called one interval after each round of heartbeats began.
  void Start(std::function<void()> on_round);

  // True once this daemon has heard from every daemon on the member list, or
  // `timeout` has passed since the list was first read. Before that, lanes that
  // have an owner may seem to have none.
  bool HasHeardFromPeers(std::chrono::milliseconds timeout) const;

  // Returns once this daemon may send the key-value service its less urgent
  // requests. The delay grows with the fleet, so that daemons that start at the
  // same time don't overload the service.
  void AwaitStartTime(Fiber& fiber);

  // Removes this daemon from the member list.
  void Leave(Fiber& fiber);

  // Asks `daemon` whether it owns `lane` in that epoch. Returns false also when
  // it does not answer. Throws KvUnavailable when its address is unknown and
  // cannot be looked up.
  bool StillOwns(Fiber& fiber,
                 const std::string& daemon,
                 const OwnedLane& lane);

  // Starts a round of heartbeats now: to every live or listed peer in a small
  // fleet, to the next `probes` of them in a large one.
  void SendHeartbeats();

 private:
  void KeepRegistered(Fiber& fiber);
  void PollMemberList(Fiber& fiber);
  void ReadMemberList(Fiber& fiber);
  void SetStartTime(std::chrono::milliseconds delay);
  void RunHeartbeatRounds(Fiber& fiber);
  void StartProbes(const std::vector<std::string>& addresses);
  void ProbePeer(Fiber& fiber, const std::string& address);
  void MarkUnreachable(const std::string& daemon);
  std::string DaemonAt(const std::string& address) const;
  std::string AddressOf(Fiber& fiber, const std::string& daemon);
  bool ExchangeHeartbeat(Fiber& fiber,
                         const std::string& address,
                         std::chrono::milliseconds timeout);

  Loop& loop_;
  HttpClient& http_;
  KvClient& kv_;
  EventLog& log_;
  Membership& membership_;
  PeerLinkOptions options_;
  ProbeRing probe_ring_;
  std::function<void()> on_round_;
  std::set<std::string> listed_addresses_;
  std::set<std::string> probes_in_flight_;
  std::int64_t member_lease_ = 0;  // In the key-value service; 0 if none.
  bool removed_from_list_ = false;
  bool member_list_read_ = false;
  std::chrono::steady_clock::time_point member_list_read_at_;
  // The member list has this daemon's name with its present address.
  bool listed_at_own_address_ = false;
  Condition start_time_set_;
  std::optional<std::chrono::steady_clock::time_point> start_time_;
};

}  // namespace comfreyfold

#endif  // SERVER_PEER_LINKS_H_
