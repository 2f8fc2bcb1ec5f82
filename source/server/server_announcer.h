#ifndef SERVER_SERVER_ANNOUNCER_H_
#define SERVER_SERVER_ANNOUNCER_H_

#include <memory>
#include <string>
#include <vector>

#include "core/membership.h"
#include "core/server_state.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "server/backend_directory.h"

namespace comfreyfold {

// Sends state changes of the backend servers that this daemon polls to every
// live peer (POST /peer/servers, a Thrift body), and passes on the changes that
// it receives from peers to the backend directory.
class ServerAnnouncer {
 public:
  ServerAnnouncer(Loop& loop,
                  HttpClient& http,
                  const Membership& membership,
                  BackendDirectory& directory,
                  EventLog& log);

  // Queues `state`; it is sent together with the changes of the next few
  // milliseconds.
  void Announce(const ServerState& state);

  // Answers a peer's request. Returns false when the path is not /peer/servers.
  bool Handle(const HttpRequest& request, HttpExchange& exchange);

 private:
  struct Batch {
    std::string body;
    std::vector<std::string> addresses;  // Of the peers not yet sent to.
  };

  void SendPending(Fiber& fiber);
  void SendToRemaining(Fiber& fiber, Batch& batch);
  bool SendTo(Fiber& fiber,
              const std::string& address,
              const std::string& body);

  Loop& loop_;
  HttpClient& http_;
  const Membership& membership_;
  BackendDirectory& directory_;
  EventLog& log_;
  ServerNews pending_;
};

}  // namespace comfreyfold

#endif  // SERVER_SERVER_ANNOUNCER_H_
