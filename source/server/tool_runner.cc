#include "server/tool_runner.h"

#include <algorithm>

#include "core/call_error.h"

namespace comfreyfold {

namespace {
constexpr std::chrono::milliseconds kRetrySoon{500};
}  // namespace

void ToolRunner::Run(Fiber& fiber, CallContext& context) {
  const auto rule = context.contract->RuleFor(context.call.target);
  auto begun = context.Entry(EntryKind::kCallBegun);
  begun.idempotent = rule.idempotent;
  begun.request = context.call.body;
  auto& backend = chooser_.ChooseService(context);
  const InFlight in_flight(directory_, backend);
  const auto address = backend.vm.address;
  begun.backend = backend.vm.id;
  journal_.CommitIntent(fiber, context, begun);

  ToolCall tool_call;
  tool_call.name = context.call.target;
  tool_call.key = begun.key;
  tool_call.program = begun.customer + "/" + begun.program;
  tool_call.body = context.call.body;
  tool_call.timeout = std::min(rule.timeout, context.left());
  auto done = context.Entry(EntryKind::kCallDone);
  done.backend = begun.backend;
  ToolResult result;
  try {
    result = tools_.Call(fiber, address, tool_call);
  } catch (const BackendFailure& e) {
    done.verdict = e.verdict();
    done.status = 502;
    journal_.CommitOutcome(fiber, context, done);
    throw CallError(
        502, "service_failed",
        std::string(e.what()) + (e.verdict() == Verdict::kNotRun
                                     ? "; retry with the same Idempotency-Key"
                                     : "; check at the service whether it ran"),
        e.verdict(), kRetrySoon);
  }
  done.verdict = Verdict::kRan;
  done.status = result.status;
  done.answer = result.body;
  journal_.CommitOutcome(fiber, context, done);

  AnswerFrame frame;
  frame.kind = FrameKind::kDone;
  frame.status = result.status;
  frame.content = result.body;
  context.sink(frame);
}

}  // namespace comfreyfold
