#include "server/tool_runner.h"

#include <algorithm>

#include "core/call_error.h"

namespace comfreyfold {

void ToolRunner::RecordFailure(Fiber& fiber,
                               CallContext& context,
                               const Attempts& attempts) {
  auto done = context.Entry(EntryKind::kCallDone);
  done.backend = attempts.server;
  done.verdict = attempts.worst;
  done.status = attempts.made == 0 ? 503 : 502;
  journal_.CommitOutcome(fiber, context, done);
}

std::unique_ptr<ServerSlot> ToolRunner::Begin(Fiber& fiber,
                                              CallContext& context,
                                              const ToolRule& rule,
                                              Attempts& attempts) {
  auto begun = context.Entry(EntryKind::kCallBegun);
  begun.idempotent = rule.idempotent;
  begun.request = context.call.body;
  begun.verdict = attempts.worst;
  auto slot = chooser_.ChooseService(fiber, context, attempts.failed);
  begun.backend = slot->server();
  journal_.CommitIntent(fiber, context, begun);
  attempts.begun = true;
  if (directory_.TakesWork(slot->server())) {
    return slot;
  }
  // The commit may have waited through an outage, and the server have begun
  // to leave meanwhile. Nothing was sent yet: another one will do.
  slot.reset();
  return chooser_.ChooseService(fiber, context, attempts.failed);
}

ToolResult ToolRunner::Dispatch(Fiber& fiber,
                                CallContext& context,
                                const ToolRule& rule,
                                ServerSlot& slot) {
  const auto* backend = directory_.Find(slot.server());
  if (backend == nullptr) {
    throw BackendFailure("the server has left", Verdict::kNotRun);
  }
  ToolCall call;
  call.name = context.call.target;
  call.key = context.call.key;
  call.program = context.program.customer + "/" + context.program.program;
  call.body = context.call.body;
  call.timeout = std::min(rule.timeout, context.left());
  try {
    return tools_.Call(fiber, std::string(backend->vm.address), call);
  } catch (const BackendFailure&) {
    slot.Failed();
    directory_.Doubt(slot.server());
    throw;
  }
}

ToolResult ToolRunner::RunAttempts(Fiber& fiber,
                                   CallContext& context,
                                   const ToolRule& rule,
                                   Attempts& attempts) {
  retries_.ObserveCall();
  while (true) {
    std::unique_ptr<ServerSlot> slot;
    try {
      slot = Begin(fiber, context, rule, attempts);
    } catch (const CallError& e) {
      if (!attempts.begun) {
        throw;
      }
      RecordFailure(fiber, context, attempts);
      throw CallError(e.status(), e.code(), e.what(), attempts.worst,
                      e.retry_after());
    }
    ++attempts.made;
    attempts.server = slot->server();
    try {
      return Dispatch(fiber, context, rule, *slot);
    } catch (const BackendFailure& e) {
      attempts.failed.insert(slot->server());
      attempts.worst = std::max(attempts.worst, e.verdict());
      slot.reset();
      const auto pause =
          retries_.Next({e.verdict(), rule.idempotent, attempts.made,
                         rule.attempts, context.left()});
      if (!pause) {
        RecordFailure(fiber, context, attempts);
        throw CallError(502, "service_failed",
                        std::string(e.what()) +
                            (attempts.worst == Verdict::kNotRun
                                 ? "; retry with the same Idempotency-Key"
                                 : "; check at the service whether it ran"),
                        attempts.worst, kRetrySoon);
      }
      fiber.Sleep(*pause);
    }
  }
}

void ToolRunner::Run(Fiber& fiber, CallContext& context) {
  holds_.PauseBegins(context);
  const auto rule = context.contract->RuleFor(context.call.target);
  Attempts attempts;
  attempts.worst = context.earlier;
  const auto result = RunAttempts(fiber, context, rule, attempts);
  auto done = context.Entry(EntryKind::kCallDone);
  done.backend = attempts.server;
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
