#ifndef SERVER_PEER_API_H_
#define SERVER_PEER_API_H_

#include <functional>

#include "core/membership.h"
#include "net/http_server.h"
#include "server/call_runner.h"
#include "server/outcome_relay.h"

namespace comfreyfold {

// The interface between daemons: POST /peer/call and POST /peer/heartbeat,
// Thrift bodies over HTTP.
class PeerApi {
 public:
  // `on_lanes_given_up` runs when a peer owns fewer lanes than before.
  PeerApi(Membership& membership,
          CallRunner& runner,
          OutcomeRelay& relay,
          EventLog& log,
          std::function<void()> on_lanes_given_up);

  // False when the path is not one of its own.
  bool Handle(Fiber& fiber, const HttpRequest& request, HttpExchange& exchange);

 private:
  void HandleCall(Fiber& fiber,
                  const HttpRequest& request,
                  HttpExchange& exchange);
  void HandleOutcome(Fiber& fiber,
                     const HttpRequest& request,
                     HttpExchange& exchange);
  void HandleHeartbeat(const HttpRequest& request, HttpExchange& exchange);

  Membership& membership_;
  CallRunner& runner_;
  OutcomeRelay& relay_;
  EventLog& log_;
  std::function<void()> on_lanes_given_up_;
};

}  // namespace comfreyfold

#endif  // SERVER_PEER_API_H_
