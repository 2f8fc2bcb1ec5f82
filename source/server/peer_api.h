#ifndef SERVER_PEER_API_H_
#define SERVER_PEER_API_H_

#include <functional>

#include "core/membership.h"
#include "net/http_server.h"
#include "server/call_runner.h"
#include "server/outcome_relay.h"

namespace comfreyfold {

// Serves POST /peer/call, /peer/outcome and /peer/heartbeat, the requests that
// daemons send each other as Thrift bodies over HTTP.
class PeerApi {
 public:
  // `on_lanes_released` is called when a peer's heartbeat lists fewer lanes
  // than the one before.
  PeerApi(Membership& membership,
          CallRunner& runner,
          OutcomeRelay& relay,
          EventLog& log,
          std::function<void()> on_lanes_released);

  // Answers a request. Returns false when the path belongs to another
  // interface.
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
  std::function<void()> on_lanes_released_;
};

}  // namespace comfreyfold

#endif  // SERVER_PEER_API_H_
