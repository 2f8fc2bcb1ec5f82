#ifndef SERVER_CALL_ROUTER_H_
#define SERVER_CALL_ROUTER_H_

#include "core/membership.h"
#include "net/http_client.h"
#include "server/call_runner.h"

namespace comfreyfold {

// Takes a call to its program's owner, wherever that is, and again when the
// owner changes. Safe to repeat: the owner knows each call by its key.
class CallRouter {
 public:
  CallRouter(Loop& loop,
             HttpClient& http,
             Membership& membership,
             CallRunner& runner,
             EventLog& log,
             int lanes);

  // Ends with a kDone frame or throws CallError.
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
