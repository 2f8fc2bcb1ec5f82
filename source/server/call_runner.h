#ifndef SERVER_CALL_RUNNER_H_
#define SERVER_CALL_RUNNER_H_

#include "server/call_limits.h"
#include "server/contract_store.h"
#include "server/customer_slots.h"
#include "server/lane_manager.h"
#include "server/model_runner.h"
#include "server/program_gate.h"
#include "server/program_requests.h"
#include "server/tool_runner.h"

namespace comfreyfold {

// Runs calls at the owner of their program's lane, one at a time per program.
// The intent is committed before the dispatch, and the outcome before the
// final frame of the answer.
class CallRunner {
 public:
  CallRunner(Loop& loop,
             LaneManager& lanes,
             ContractStore& contracts,
             CallLimits& limits,
             CustomerSlots& slots,
             ModelRunner& models,
             ToolRunner& tools,
             ProgramRequests& requests,
             EventLog& log)
      : lanes_(lanes),
        contracts_(contracts),
        limits_(limits),
        slots_(slots),
        models_(models),
        tools_(tools),
        requests_(requests),
        log_(log),
        gate_(loop) {}

  // Runs one call and passes its answer to `sink` up to the kDone frame.
  // Throws CallError or NotOwner.
  void Run(Fiber& fiber, const ForwardedCall& call, const FrameSink& sink);

 private:
  void Dispatch(Fiber& fiber, CallContext& context);
  void RunCall(Fiber& fiber, CallContext& context);
  void LogEvent(const char* name, const ForwardedCall& call, int lane);
  Admission Admit(Fiber& fiber, const CallContext& context);
  void AwaitFormerOwner(Fiber& fiber,
                        const CallContext& context,
                        CallClaim& claim,
                        Admission& admission);

  LaneManager& lanes_;
  ContractStore& contracts_;
  CallLimits& limits_;
  CustomerSlots& slots_;
  ModelRunner& models_;
  ToolRunner& tools_;
  ProgramRequests& requests_;
  EventLog& log_;
  ProgramGate gate_;
};

}  // namespace comfreyfold

#endif  // SERVER_CALL_RUNNER_H_
