#include "server/model_runner.h"

#include <algorithm>
#include <optional>

#include <nlohmann/json.hpp>

#include "core/call_error.h"
#include "core/token_bound.h"
#include "server/history.h"

namespace comfreyfold {

namespace {

using nlohmann::json;

constexpr std::int64_t kDefaultAnswerTokens = 16;
constexpr int kMaxCommitRounds = 3;
// An approximation, used only to choose an engine.
constexpr std::size_t kBytesPerToken = 4;

std::int64_t EstimateTokens(const std::string& text) {
  return static_cast<std::int64_t>(text.size() / kBytesPerToken);
}

// When a turn ends and its outcome has been appended, reports the engine memory
// that the turn may hold if the lane was lost. An owner that was paused only
// learns from that append that it has lost the lane.
class OrphanedHoldGuard {
 public:
  OrphanedHoldGuard(OrphanedHolds& orphaned_holds,
                    const CallContext& context,
                    const std::set<std::string>& dispatched_to)
      : orphaned_holds_(orphaned_holds),
        context_(context),
        dispatched_to_(dispatched_to) {}
  ~OrphanedHoldGuard() {
    if (!context_.lane->lost()) {
      return;
    }
    for (const auto& it : dispatched_to_) {
      orphaned_holds_.Add(context_.program, it);
    }
  }
  OrphanedHoldGuard(const OrphanedHoldGuard&) = delete;
  OrphanedHoldGuard& operator=(const OrphanedHoldGuard&) = delete;

 private:
  OrphanedHolds& orphaned_holds_;
  const CallContext& context_;
  const std::set<std::string>& dispatched_to_;
};

}  // namespace

const Backend* ModelRunner::BackendToResume(const CallContext& context) {
  const auto* program = context.state();
  const auto* call =
      program == nullptr ? nullptr : program->FindCall(context.call.key);
  const bool resumes =
      call != nullptr && !call->done && directory_.TakesWork(call->backend);
  return resumes ? directory_.Find(call->backend) : nullptr;
}

std::unique_ptr<ServerSlot> ModelRunner::Choose(Fiber& fiber,
                                                CallContext& context,
                                                Turn& turn) {
  // Only the first dispatch by this owner can resume a stream that an earlier
  // owner began.
  const auto* resumed =
      turn.intent_committed ? nullptr : BackendToResume(context);
  turn.call.resume = resumed != nullptr;
  return resumed != nullptr ? chooser_.ResumeOnEngine(
                                  fiber, context, std::string(resumed->vm.id))
                            : chooser_.ChooseEngine(fiber, context, turn.size,
                                                    turn.failed_servers);
}

std::unique_ptr<ServerSlot> ModelRunner::ChooseAndCommitIntent(
    Fiber& fiber,
    CallContext& context,
    Turn& turn) {
  std::unique_ptr<ServerSlot> slot;
  for (int round = 0; round < kMaxCommitRounds; ++round) {
    slot.reset();
    slot = Choose(fiber, context, turn);
    turn.intent.backend = slot->server();
    turn.intent.tokens = turn.spent_tokens + turn.budget_tokens;
    turn.intent.verdict = turn.worst_verdict;
    journal_.CommitIntent(fiber, context, turn.intent);
    turn.intent_committed = true;
    // The commit may have waited for the end of an outage, during which the
    // engine may have started to drain.
    if (directory_.TakesWork(turn.intent.backend)) {
      break;
    }
  }
  return slot;
}

void ModelRunner::RecordFailure(Fiber& fiber,
                                CallContext& context,
                                const Turn& turn) {
  auto outcome = context.MakeEntry(EntryKind::kCallDone);
  outcome.backend = turn.intent.backend;
  outcome.verdict = turn.worst_verdict;
  outcome.status = turn.dispatches == 0 ? 503 : 502;
  outcome.grant = turn.intent.grant;
  outcome.tokens = turn.spent_tokens;
  journal_.CommitOutcome(fiber, context, outcome);
}

void ModelRunner::Cancel(const std::string& address,
                         const std::string& request_id) {
  // Runs in a fiber of its own, so that the caller need not wait for the
  // engine's reply. A stream that cannot be cancelled ends by itself.
  loop_.Spawn([this, address, request_id](Fiber& fiber) {
    try {
      engines_.Cancel(fiber, address, request_id);
    } catch (const BackendFailure&) {
    }
  });
}

ModelRunner::Turn ModelRunner::Prepare(Fiber& fiber, CallContext& context) {
  const auto body = json::parse(context.call.body);
  const auto known = ConversationMessages(context.state());
  const auto added = NewMessages(known, body.at("messages"));
  auto messages = known;
  messages.insert(messages.end(), added.begin(), added.end());

  Turn turn;
  turn.worst_verdict = context.earlier_verdict;
  turn.intent = context.MakeEntry(EntryKind::kCallBegun);
  turn.intent.idempotent = true;
  turn.intent.request = added.dump();
  const auto answer_tokens = limits_.MaxAnswerTokens(
      context, body.value("max_tokens", kDefaultAnswerTokens));
  turn.budget_tokens =
      PromptTokenBound(context.state(), context.call.target,
                       {turn.intent.request.size(), added.size()}) +
      answer_tokens;
  context.budget = budgets_.Reserve(fiber, context.program.customer,
                                    turn.budget_tokens, context.deadline);
  turn.intent.grant = budgets_.run();

  turn.call.program = turn.intent.customer + "/" + turn.intent.program;
  turn.call.request_id =
      StreamId(turn.intent.customer, turn.intent.program, turn.intent.key);
  turn.call.model = context.call.target;
  turn.call.messages = messages.dump();
  turn.call.max_tokens = answer_tokens;
  turn.call.priority = context.contract->priority;
  turn.size.answer_tokens = answer_tokens;
  turn.size.prompt_tokens = EstimateTokens(turn.call.messages);
  turn.size.seen_tokens =
      context.state() == nullptr ? 0 : EstimateTokens(known.dump());
  turn.size.exported_tokens = holds_.OnPauseEnded(context);
  return turn;
}

EngineResult ModelRunner::Dispatch(Fiber& fiber,
                                   CallContext& context,
                                   Turn& turn,
                                   ServerSlot& slot) {
  const auto* backend = directory_.Find(slot.server());
  if (backend == nullptr) {
    throw BackendFailure("the engine is no longer in the VM list",
                         Verdict::kNotRun);
  }
  const std::string address = backend->vm.address;
  context.budget.MarkDispatched();
  turn.dispatched_to.insert(slot.server());
  const auto imported = holds_.PrepareEngine(fiber, context, slot);
  turn.call.idle_timeout = context.time_left();
  turn.call.on_text = [&context, &turn](std::string_view text) {
    turn.streamed = true;
    AnswerFrame frame;
    frame.content = std::string(text);
    context.sink(frame);
  };
  try {
    auto result = engines_.Complete(fiber, address, turn.call);
    const auto tokens = result.prompt_tokens + result.completion_tokens;
    slot.MarkSucceeded(tokens, result.cached_tokens - imported);
    holds_.OnTurnEnded(context, slot.server(), tokens);
    return result;
  } catch (const BackendFailure& e) {
    slot.MarkFailed();
    directory_.RecheckLoad(slot.server());
    if (e.verdict() != Verdict::kNotRun) {
      Cancel(address, turn.call.request_id);
    }
    throw;
  }
}

// A failed dispatch that may have run is charged its whole reservation, and
// the next dispatch reserves tokens of its own. After text was sent to the
// caller, the turn is not dispatched to another engine.
void ModelRunner::HandleFailure(Fiber& fiber,
                                CallContext& context,
                                Turn& turn,
                                const BackendFailure& failure) {
  const bool may_have_run = failure.verdict() != Verdict::kNotRun;
  turn.worst_verdict = std::max(turn.worst_verdict, failure.verdict());
  turn.spent_tokens += may_have_run ? turn.budget_tokens : 0;
  const auto delay =
      turn.streamed
          ? std::nullopt
          : retries_.Next({failure.verdict(), true, turn.dispatches,
                           settings_.model_attempts, context.time_left()});
  if (!delay) {
    context.budget.Settle(may_have_run ? turn.budget_tokens : 0);
    RecordFailure(fiber, context, turn);
    throw CallError(
        502, "engine_failed",
        std::string(failure.what()) + "; retry with the same Idempotency-Key",
        turn.worst_verdict, kRetrySoon);
  }
  fiber.Sleep(*delay);
  if (may_have_run) {
    context.budget.Settle(turn.budget_tokens);
    context.budget = budgets_.Reserve(fiber, context.program.customer,
                                      turn.budget_tokens, context.deadline);
  }
}

EngineResult ModelRunner::RunAttempts(Fiber& fiber,
                                      CallContext& context,
                                      Turn& turn) {
  retries_.ObserveCall();
  while (true) {
    const auto slot = ChooseAndCommitIntent(fiber, context, turn);
    ++turn.dispatches;
    try {
      return Dispatch(fiber, context, turn, *slot);
    } catch (const BackendFailure& e) {
      turn.failed_servers.insert(slot->server());
      HandleFailure(fiber, context, turn, e);
    }
  }
}

void ModelRunner::Run(Fiber& fiber, CallContext& context) {
  auto turn = Prepare(fiber, context);
  const OrphanedHoldGuard orphaned_hold_guard(orphaned_holds_, context,
                                              turn.dispatched_to);
  EngineResult result;
  try {
    result = RunAttempts(fiber, context, turn);
  } catch (const CallError& e) {
    // Failures of engines (502) are already recorded. After any other error,
    // a committed intent still needs its outcome.
    const bool unrecorded = turn.intent_committed && e.status() != 502;
    if (!unrecorded) {
      throw;
    }
    RecordFailure(fiber, context, turn);
    throw CallError(e.status(), e.code(), e.what(), turn.worst_verdict,
                    e.retry_after());
  }
  auto outcome = context.MakeEntry(EntryKind::kCallDone);
  outcome.backend = turn.intent.backend;
  outcome.verdict = Verdict::kRan;
  outcome.status = 200;
  outcome.answer = result.text;
  const auto used = result.prompt_tokens + result.completion_tokens;
  outcome.grant = turn.intent.grant;
  outcome.tokens = turn.spent_tokens + used;
  context.budget.Settle(used);
  journal_.CommitOutcome(fiber, context, outcome);

  AnswerFrame frame;
  frame.kind = FrameKind::kDone;
  frame.content = result.text;
  frame.prompt_tokens = result.prompt_tokens;
  frame.completion_tokens = result.completion_tokens;
  frame.cached_tokens = result.cached_tokens;
  context.sink(frame);
}

}  // namespace comfreyfold
