#ifndef SERVER_CALL_RUNNER_H_
#define SERVER_CALL_RUNNER_H_

#include <functional>
#include <memory>
#include <string>

#include "backend/engine_client.h"
#include "backend/tool_client.h"
#include "core/call_error.h"
#include "log/event_log.h"
#include "server/backend_directory.h"
#include "server/contract_store.h"
#include "server/lane_manager.h"
#include "server/program_gate.h"
#include "wire/codec.h"

namespace comfreyfold {

// Receives an answer piece by piece.
using FrameSink = std::function<void(const AnswerFrame&)>;

// This daemon does not own the program's lane. Nothing was run.
class NotOwner : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Runs calls at the owner of their program: in the program's order, with
// the intent committed before dispatch and the outcome before the end.
class CallRunner {
 public:
  CallRunner(Loop& loop,
             HttpClient& http,
             LaneManager& lanes,
             ContractStore& contracts,
             BackendDirectory& backends,
             EventLog& log);

  // Runs one call. Ends with a kDone frame, or throws CallError or
  // NotOwner.
  void Run(Fiber& fiber, const ForwardedCall& call, const FrameSink& sink);

  // Sends an urgent message straight to a server, ahead of every queue and
  // of the journal; only services that the contract calls urgent.
  ToolResult RunUrgent(Fiber& fiber, const ForwardedCall& call);

  // Releases engine memory of ended programs in the lanes owned here.
  void ReleaseHolds(Fiber& fiber);

 private:
  struct Context;
  void RunCall(Fiber& fiber, Context& context);
  void RunModel(Fiber& fiber, Context& context);
  void RunTool(Fiber& fiber, Context& context);
  void EndProgram(Fiber& fiber, Context& context);
  void AnswerFromRecord(const Context& context, const CallRecord& record);
  void ReadHistory(const Context& context);
  void ReadAnswer(const Context& context);
  Backend& ChooseEngine(const Context& context);
  Backend& ChooseService(const Context& context);
  void CommitIntent(Fiber& fiber,
                    const Context& context,
                    const LaneEntry& begun);
  void CommitOutcome(Fiber& fiber,
                     const Context& context,
                     const LaneEntry& done);
  void CheckLimits(const Context& context);

  Loop& loop_;
  LaneManager& lanes_;
  ContractStore& contracts_;
  BackendDirectory& backends_;
  EventLog& log_;
  EngineClient engines_;
  ToolClient tools_;
  ProgramGate gate_;
};

}  // namespace comfreyfold

#endif  // SERVER_CALL_RUNNER_H_
