#ifndef FRONT_CALL_DISPATCHER_H_
#define FRONT_CALL_DISPATCHER_H_

#include <optional>
#include <random>

#include "core/call_error.h"
#include "core/program_slack.h"
#include "fleet/decision_log.h"
#include "front/call.h"
#include "front/crash_guard.h"
#include "front/request_codec.h"
#include "front/server_admission.h"
#include "front/server_call.h"
#include "front/version_guard.h"
#include "net/http_client.h"

namespace comfreyfold {

// Dispatches a prepared request to a backend server: waits for a slot, sends
// the request, and retries on another server when the verdict of the failed
// attempt permits it.
class CallDispatcher {
 public:
  CallDispatcher(HttpClient& http,
                 ServerAdmission& admission,
                 DecisionLog& log,
                 const RequestCodec& codec,
                 const ProgramSlack& slack,
                 CrashGuard& crash_guard,
                 VersionGuard& version_guard);

  // Sets when the daemon stops: calls that are not over by then are answered.
  void StopAt(TimePoint time) { stop_at_ = time; }

  // Either the server's answer or the reason why there is none.
  struct Outcome {
    std::optional<HttpReply> answer;
    std::optional<CallError> error;
  };
  Outcome Dispatch(Fiber& fiber, Call& call);

 private:
  std::optional<CallError> AcquireSlot(Fiber& fiber,
                                       Call& call,
                                       SlotResult& slot_result);
  // Gives the slot back if the request is quarantined.
  std::optional<CallError> CheckQuarantine(const Call& call,
                                           const SlotResult& slot_result);
  ServerCallResult Send(Fiber& fiber,
                        Call& call,
                        const SlotResult& slot_result);
  bool MayRetry(const Call& call, const ServerCallResult& result) const;
  static bool IsEngineCall(const Call& call);
  // The end of the call's time: its deadline, or the stop of the daemon.
  TimePoint EndOf(const Call& call) const;

  HttpClient& http_;
  ServerAdmission& admission_;
  DecisionLog& log_;
  const RequestCodec& codec_;
  const ProgramSlack& slack_;
  CrashGuard& crash_guard_;
  VersionGuard& version_guard_;
  TimePoint stop_at_ = TimePoint::max();
  std::mt19937_64 random_;
};

}  // namespace comfreyfold

#endif  // FRONT_CALL_DISPATCHER_H_
