#include "server/tool_runner.h"

#include <algorithm>

#include "core/call_error.h"

namespace comfreyfold {

void ToolRunner::RecordFailure(Fiber& fiber,
                               CallContext& context,
                               const Attempts& attempts) {
  auto outcome = context.MakeEntry(EntryKind::kCallDone);
  outcome.backend = attempts.server;
  outcome.verdict = attempts.worst_verdict;
  outcome.status = attempts.dispatches == 0 ? 503 : 502;
  journal_.CommitOutcome(fiber, context, outcome);
}

std::unique_ptr<ServerSlot> ToolRunner::ChooseAndCommitIntent(
    Fiber& fiber,
    CallContext& context,
    const ToolRule& rule,
    Attempts& attempts) {
  auto intent = context.MakeEntry(EntryKind::kCallBegun);
  intent.idempotent = rule.idempotent;
  intent.request = context.call.body;
  intent.verdict = attempts.worst_verdict;
  auto slot = chooser_.ChooseService(fiber, context, attempts.failed_servers);
  intent.backend = slot->server();
  journal_.CommitIntent(fiber, context, intent);
  attempts.intent_committed = true;
  if (directory_.TakesWork(slot->server())) {
    return slot;
  }
  // The commit may have waited for the end of an outage, during which the
  // server may have started to drain. Nothing has been sent, so another server
  // can be used.
  slot.reset();
  return chooser_.ChooseService(fiber, context, attempts.failed_servers);
}

ToolResult ToolRunner::Dispatch(Fiber& fiber,
                                CallContext& context,
                                const ToolRule& rule,
                                ServerSlot& slot) {
  const auto* backend = directory_.Find(slot.server());
  if (backend == nullptr) {
    throw BackendFailure("the server is no longer in the VM list",
                         Verdict::kNotRun);
  }
  ToolCall call;
  call.name = context.call.target;
  call.key = context.call.key;
  call.program = context.program.customer + "/" + context.program.program;
  call.body = context.call.body;
  call.timeout = std::min(rule.timeout, context.time_left());
  try {
    return tools_.Call(fiber, std::string(backend->vm.address), call);
  } catch (const BackendFailure&) {
    slot.MarkFailed();
    directory_.RecheckLoad(slot.server());
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
      slot = ChooseAndCommitIntent(fiber, context, rule, attempts);
    } catch (const CallError& e) {
      if (!attempts.intent_committed) {
        throw;
      }
      RecordFailure(fiber, context, attempts);
      throw CallError(e.status(), e.code(), e.what(), attempts.worst_verdict,
                      e.retry_after());
    }
    ++attempts.dispatches;
    attempts.server = slot->server();
    try {
      return Dispatch(fiber, context, rule, *slot);
    } catch (const BackendFailure& e) {
      attempts.failed_servers.insert(slot->server());
      attempts.worst_verdict = std::max(attempts.worst_verdict, e.verdict());
      slot.reset();
      const auto delay =
          retries_.Next({e.verdict(), rule.idempotent, attempts.dispatches,
                         rule.attempts, context.time_left()});
      if (!delay) {
        RecordFailure(fiber, context, attempts);
        throw CallError(502, "service_failed",
                        std::string(e.what()) +
                            (attempts.worst_verdict == Verdict::kNotRun
                                 ? "; retry with the same Idempotency-Key"
                                 : "; check at the service whether it ran"),
                        attempts.worst_verdict, kRetrySoon);
      }
      fiber.Sleep(*delay);
    }
  }
}

void ToolRunner::Run(Fiber& fiber, CallContext& context) {
  holds_.OnPauseStarted(context);
  const auto rule = context.contract->RuleFor(context.call.target);
  Attempts attempts;
  attempts.worst_verdict = context.earlier_verdict;
  const auto result = RunAttempts(fiber, context, rule, attempts);
  auto outcome = context.MakeEntry(EntryKind::kCallDone);
  outcome.backend = attempts.server;
  outcome.verdict = Verdict::kRan;
  outcome.status = result.status;
  outcome.answer = result.body;
  journal_.CommitOutcome(fiber, context, outcome);

  AnswerFrame frame;
  frame.kind = FrameKind::kDone;
  frame.status = result.status;
  frame.content = result.body;
  context.sink(frame);
}

}  // namespace comfreyfold
