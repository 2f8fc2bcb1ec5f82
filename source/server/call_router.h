#ifndef SERVER_CALL_ROUTER_H_
#define SERVER_CALL_ROUTER_H_

#include "core/membership.h"
#include "net/http_client.h"
#include "server/call_runner.h"

namespace comfreyfold {

// Sends each call to the daemon that owns its program's lane, and sends it
// again when the owner changes or fails. Repeating is safe, because the owner
// identifies each call by its key.
class CallRouter {
 public:
  CallRouter(Loop& loop,
             HttpClient& http,
             Membership& membership,
             CallRunner& runner,
             EventLog& log,
             int lanes);

  // Passes the answer to `sink` up to its kDone frame, or throws CallError.
  void Route(Fiber& fiber, const ForwardedCall& call, const FrameSink& sink);

 private:
  void Forward(Fiber& fiber,
               const LaneOwnerView& owner,
               const ForwardedCall& call,
               const FrameSink& sink);

  Loop& loop_;
  HttpClient& http_;
  Membership& membership_;
  CallRunner& runner_;
  EventLog& log_;
  int lanes_;
};

}  // namespace comfreyfold

#endif  // SERVER_CALL_ROUTER_H_
