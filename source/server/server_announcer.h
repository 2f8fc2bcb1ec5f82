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

// Tells every live peer at once that a server followed here has changed
// (POST /peer/servers, a Thrift body), and takes what peers tell.
class ServerAnnouncer {
 public:
  ServerAnnouncer(Loop& loop,
                  HttpClient& http,
                  const Membership& membership,
                  BackendDirectory& directory,
                  EventLog& log);

  void Announce(const ServerState& state);

  // False when the path is not its own.
  bool Handle(const HttpRequest& request, HttpExchange& exchange);

 private:
  struct Batch {
    std::string body;
    std::vector<std::string> addresses;  // Of peers not told yet.
  };

  void Send(Fiber& fiber);
  void SendBatch(Fiber& fiber, Batch& batch);
  bool Tell(Fiber& fiber, const std::string& address, const std::string& body);

  Loop& loop_;
  HttpClient& http_;
  const Membership& membership_;
  BackendDirectory& directory_;
  EventLog& log_;
  ServerNews waiting_;
};

}  // namespace comfreyfold

#endif  // SERVER_SERVER_ANNOUNCER_H_
