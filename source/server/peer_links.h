#ifndef SERVER_PEER_LINKS_H_
#define SERVER_PEER_LINKS_H_

#include <chrono>
#include <functional>
#include <set>
#include <string>

#include "core/membership.h"
#include "log/event_log.h"
#include "net/http_client.h"
#include "platform/kv_client.h"

namespace comfreyfold {

// Finds the other daemons through leased keys in the key-value service and
// exchanges heartbeats with them.
class PeerLinks {
 public:
  PeerLinks(Loop& loop,
            HttpClient& http,
            KvClient& kv,
            EventLog& log,
            Membership& membership,
            std::chrono::milliseconds interval,
            std::chrono::seconds lease);

  // `on_round` runs after each round of heartbeats.
  void Start(std::function<void()> on_round);

  // Tells every peer the newest state at once.
  void Announce();

 private:
  void Register(Fiber& fiber);
  void FollowMembers(Fiber& fiber);
  void Beat(Fiber& fiber);
  void Exchange(Fiber& fiber, const std::string& address);

  Loop& loop_;
  HttpClient& http_;
  KvClient& kv_;
  EventLog& log_;
  Membership& membership_;
  std::chrono::milliseconds interval_;
  std::chrono::seconds lease_;
  std::function<void()> on_round_;
  std::set<std::string> addresses_;
  std::set<std::string> busy_;
};

}  // namespace comfreyfold

#endif  // SERVER_PEER_LINKS_H_
