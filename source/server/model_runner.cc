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
constexpr int kBeginRounds = 3;
constexpr std::size_t kBytesPerToken = 4;  // About, for the choice alone.

std::int64_t Tokens(const std::string& text) {
  return static_cast<std::int64_t>(text.size() / kBytesPerToken);
}

// Looks at the end of a turn, its outcome included, whether the lane was
// lost meanwhile: an owner that was paused learns it from that append.
class StrayGuard {
 public:
  StrayGuard(OrphanedHolds& orphaned_holds,
             const CallContext& context,
             const std::set<std::string>& dispatched_to)
      : orphaned_holds_(orphaned_holds),
        context_(context),
        dispatched_to_(dispatched_to) {}
  ~StrayGuard() {
    if (!context_.lane->lost()) {
      return;
    }
    for (const auto& it : dispatched_to_) {
      orphaned_holds_.Add(context_.program, it);
    }
  }
  StrayGuard(const StrayGuard&) = delete;
  StrayGuard& operator=(const StrayGuard&) = delete;

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
  // Only the first dispatch here can find a stream that an earlier owner
  // has begun.
  const auto* resumed = turn.committed ? nullptr : BackendToResume(context);
  turn.call.resume = resumed != nullptr;
  return resumed != nullptr
             ? chooser_.Rejoin(fiber, context, std::string(resumed->vm.id))
             : chooser_.ChooseEngine(fiber, context, turn.size, turn.failed);
}

std::unique_ptr<ServerSlot> ModelRunner::Begin(Fiber& fiber,
                                               CallContext& context,
                                               Turn& turn) {
  std::unique_ptr<ServerSlot> slot;
  for (int round = 0; round < kBeginRounds; ++round) {
    slot.reset();
    slot = Choose(fiber, context, turn);
    turn.begun.backend = slot->server();
    turn.begun.tokens = turn.spent_tokens + turn.budget_tokens;
    turn.begun.verdict = turn.worst;
    journal_.CommitIntent(fiber, context, turn.begun);
    turn.committed = true;
    // The commit may have waited through an outage, and the engine have
    // begun to leave meanwhile.
    if (directory_.TakesWork(turn.begun.backend)) {
      break;
    }
  }
  return slot;
}

void ModelRunner::RecordFailure(Fiber& fiber,
                                CallContext& context,
                                const Turn& turn) {
  auto done = context.Entry(EntryKind::kCallDone);
  done.backend = turn.begun.backend;
  done.verdict = turn.worst;
  done.status = turn.attempts == 0 ? 503 : 502;
  done.grant = turn.begun.grant;
  done.tokens = turn.spent_tokens;
  journal_.CommitOutcome(fiber, context, done);
}

void ModelRunner::Cancel(const std::string& address,
                         const std::string& request_id) {
  // Beside the call: its caller need not wait for the engine's word, and a
  // stream that cannot be cancelled ends by itself.
  loop_.Spawn([this, address, request_id](Fiber& fiber) {
    try {
      engines_.Cancel(fiber, address, request_id);
    } catch (const BackendFailure&) {
    }
  });
}

ModelRunner::Turn ModelRunner::Prepare(Fiber& fiber, CallContext& context) {
  const auto body = json::parse(context.call.body);
  const auto known = MessagesOf(context.state());
  const auto added = NewMessages(known, body.at("messages"));
  auto messages = known;
  messages.insert(messages.end(), added.begin(), added.end());

  Turn turn;
  turn.worst = context.earlier;
  turn.begun = context.Entry(EntryKind::kCallBegun);
  turn.begun.idempotent = true;
  turn.begun.request = added.dump();
  const auto answer_tokens = limits_.AnswerTokens(
      context, body.value("max_tokens", kDefaultAnswerTokens));
  turn.budget_tokens = PromptBound(context.state(), context.call.target,
                                   {turn.begun.request.size(), added.size()}) +
                       answer_tokens;
  context.budget = budgets_.Reserve(fiber, context.program.customer,
                                    turn.budget_tokens, context.deadline);
  turn.begun.grant = budgets_.run();

  turn.call.program = turn.begun.customer + "/" + turn.begun.program;
  turn.call.request_id =
      StreamId(turn.begun.customer, turn.begun.program, turn.begun.key);
  turn.call.model = context.call.target;
  turn.call.messages = messages.dump();
  turn.call.max_tokens = answer_tokens;
  turn.call.priority = context.contract->priority;
  turn.size.answer_tokens = answer_tokens;
  turn.size.prompt_tokens = Tokens(turn.call.messages);
  turn.size.seen_tokens = context.state() == nullptr ? 0 : Tokens(known.dump());
  turn.size.exported_tokens = holds_.PauseEnds(context);
  return turn;
}

EngineResult ModelRunner::Dispatch(Fiber& fiber,
                                   CallContext& context,
                                   Turn& turn,
                                   ServerSlot& slot) {
  const auto* backend = directory_.Find(slot.server());
  if (backend == nullptr) {
    throw BackendFailure("the engine has left", Verdict::kNotRun);
  }
  const std::string address = backend->vm.address;
  context.budget.MarkDispatched();
  turn.dispatched_to.insert(slot.server());
  const auto imported = holds_.BeforeTurn(fiber, context, slot);
  turn.call.idle_timeout = context.left();
  turn.call.on_text = [&context, &turn](std::string_view text) {
    turn.streamed = true;
    AnswerFrame frame;
    frame.content = std::string(text);
    context.sink(frame);
  };
  try {
    auto result = engines_.Complete(fiber, address, turn.call);
    const auto tokens = result.prompt_tokens + result.completion_tokens;
    slot.Ran(tokens, result.cached_tokens - imported);
    holds_.TurnEnded(context, slot.server(), tokens);
    return result;
  } catch (const BackendFailure& e) {
    slot.Failed();
    directory_.Doubt(slot.server());
    if (e.verdict() != Verdict::kNotRun) {
      Cancel(address, turn.call.request_id);
    }
    throw;
  }
}

// A dispatch that may have run may have used all it reserved; the next one
// needs tokens of its own. Text that the caller has seen is never followed
// by that of another engine.
void ModelRunner::AfterFailure(Fiber& fiber,
                               CallContext& context,
                               Turn& turn,
                               const BackendFailure& failure) {
  const bool may_have_run = failure.verdict() != Verdict::kNotRun;
  turn.worst = std::max(turn.worst, failure.verdict());
  turn.spent_tokens += may_have_run ? turn.budget_tokens : 0;
  const auto pause =
      turn.streamed ? std::nullopt
                    : retries_.Next({failure.verdict(), true, turn.attempts,
                                     settings_.model_attempts, context.left()});
  if (!pause) {
    context.budget.Settle(may_have_run ? turn.budget_tokens : 0);
    RecordFailure(fiber, context, turn);
    throw CallError(
        502, "engine_failed",
        std::string(failure.what()) + "; retry with the same Idempotency-Key",
        turn.worst, kRetrySoon);
  }
  fiber.Sleep(*pause);
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
    const auto slot = Begin(fiber, context, turn);
    ++turn.attempts;
    try {
      return Dispatch(fiber, context, turn, *slot);
    } catch (const BackendFailure& e) {
      turn.failed.insert(slot->server());
      AfterFailure(fiber, context, turn, e);
    }
  }
}

void ModelRunner::Run(Fiber& fiber, CallContext& context) {
  auto turn = Prepare(fiber, context);
  const StrayGuard stray(orphaned_holds_, context, turn.dispatched_to);
  EngineResult result;
  try {
    result = RunAttempts(fiber, context, turn);
  } catch (const CallError& e) {
    // Failures of engines are on record; what remains is a turn that was
    // begun and then found no place.
    const bool unrecorded = turn.committed && e.status() != 502;
    if (!unrecorded) {
      throw;
    }
    RecordFailure(fiber, context, turn);
    throw CallError(e.status(), e.code(), e.what(), turn.worst,
                    e.retry_after());
  }
  auto done = context.Entry(EntryKind::kCallDone);
  done.backend = turn.begun.backend;
  done.verdict = Verdict::kRan;
  done.status = 200;
  done.answer = result.text;
  const auto used = result.prompt_tokens + result.completion_tokens;
  done.grant = turn.begun.grant;
  done.tokens = turn.spent_tokens + used;
  context.budget.Settle(used);
  journal_.CommitOutcome(fiber, context, done);

  AnswerFrame frame;
  frame.kind = FrameKind::kDone;
  frame.content = result.text;
  frame.prompt_tokens = result.prompt_tokens;
  frame.completion_tokens = result.completion_tokens;
  frame.cached_tokens = result.cached_tokens;
  context.sink(frame);
}

}  // namespace comfreyfold
