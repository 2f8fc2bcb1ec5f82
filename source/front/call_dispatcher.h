#ifndef FRONT_CALL_DISPATCHER_H_
#define FRONT_CALL_DISPATCHER_H_

#include <optional>
#include <random>

#include "core/call_error.h"
#include "core/program_slack.h"
#include "fleet/decision_log.h"
#include "front/call.h"
#include "front/dialect.h"
#include "front/server_call.h"
#include "front/server_gate.h"
#include "net/http_client.h"

namespace comfreyfold {

// Takes a request that may run to a server: waits for a place, sends it, and
// tries another server where the verdict allows that.
class CallDispatcher {
 public:
  CallDispatcher(HttpClient& http,
                 ServerGate& gate,
                 DecisionLog& log,
                 const Dialect& dialect,
                 const ProgramSlack& slack);

  // The server's answer, or why there is none.
  struct Outcome {
    std::optional<HttpReply> answer;
    std::optional<CallError> error;
  };
  Outcome Dispatch(Fiber& fiber, Call& call);

 private:
  std::optional<CallError> Place(Fiber& fiber, Call& call, PlaceResult& placed);
  ServerCallResult Send(Fiber& fiber, Call& call, const PlaceResult& placed);
  bool MayRepeat(const Call& call, const ServerCallResult& result) const;

  HttpClient& http_;
  ServerGate& gate_;
  DecisionLog& log_;
  const Dialect& dialect_;
  const ProgramSlack& slack_;
  std::mt19937_64 draw_;
};

}  // namespace comfreyfold

#endif  // FRONT_CALL_DISPATCHER_H_
