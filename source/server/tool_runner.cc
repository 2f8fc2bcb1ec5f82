#include "server/tool_runner.h"

#include <algorithm>
#include <memory>

#include "core/call_error.h"

namespace comfreyfold {

namespace {
constexpr std::chrono::milliseconds kRetrySoon{500};
}  // namespace

std::string ToolRunner::ChooseAgain(Fiber& fiber, CallContext& context) {
  try {
    return chooser_.ChooseService(context).vm.id;
  } catch (const CallError&) {
    auto done = context.Entry(EntryKind::kCallDone);
    done.verdict = Verdict::kNotRun;
    done.status = 503;
    journal_.CommitOutcome(fiber, context, done);
    throw;
  }
}

void ToolRunner::Run(Fiber& fiber, CallContext& context) {
  const auto rule = context.contract->RuleFor(context.call.target);
  auto begun = context.Entry(EntryKind::kCallBegun);
  begun.idempotent = rule.idempotent;
  begun.request = context.call.body;
  const auto* chosen = &chooser_.ChooseService(context);
  begun.backend = chosen->vm.id;
  auto in_flight = std::make_unique<InFlight>(directory_, begun.backend);
  journal_.CommitIntent(fiber, context, begun);
  // The commit may have waited through an outage, and the server have begun
  // to leave meanwhile. Nothing was sent yet: another one will do.
  if (!directory_.TakesWork(begun.backend)) {
    begun.backend = ChooseAgain(fiber, context);
    in_flight = std::make_unique<InFlight>(directory_, begun.backend);
  }
  const auto address = directory_.Find(begun.backend)->vm.address;

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
    directory_.Doubt(begun.backend);
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
