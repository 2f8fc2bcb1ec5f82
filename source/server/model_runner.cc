#include "server/model_runner.h"

#include <nlohmann/json.hpp>

#include "core/call_error.h"
#include "core/token_bound.h"
#include "server/history.h"

namespace comfreyfold {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kRetrySoon{500};
constexpr std::int64_t kDefaultAnswerTokens = 16;
constexpr int kBeginRounds = 3;

// Looks at the end of a dispatch whether the lane was lost meanwhile.
class StrayGuard {
 public:
  StrayGuard(StrayHolds& strays,
             const CallContext& context,
             std::string backend)
      : strays_(strays), context_(context), backend_(std::move(backend)) {}
  ~StrayGuard() {
    if (context_.lane->lost()) {
      strays_.Add(context_.program, backend_);
    }
  }
  StrayGuard(const StrayGuard&) = delete;
  StrayGuard& operator=(const StrayGuard&) = delete;

 private:
  StrayHolds& strays_;
  const CallContext& context_;
  std::string backend_;
};

}  // namespace

const Backend* ModelRunner::BackendToResume(const CallContext& context) {
  const auto* program = context.state();
  if (program == nullptr) {
    return nullptr;
  }
  for (const auto& it : program->calls) {
    if (it.key == context.call.key && !it.done &&
        directory_.TakesWork(it.backend)) {
      return directory_.Find(it.backend);
    }
  }
  return nullptr;
}

ModelRunner::Placed ModelRunner::Begin(Fiber& fiber,
                                       CallContext& context,
                                       LaneEntry& begun) {
  Placed out;
  const auto* resumed = BackendToResume(context);
  out.resume = resumed != nullptr;
  for (int round = 0; round < kBeginRounds; ++round) {
    // Looked up after the last wait: the directory may drop a server.
    Backend* backend = nullptr;
    try {
      backend = out.resume ? directory_.Find(resumed->vm.id)
                           : &chooser_.ChooseEngine(context);
    } catch (const CallError&) {
      if (round > 0) {
        RecordNotRun(fiber, context);
      }
      throw;
    }
    out.in_flight = std::make_unique<InFlight>(directory_, *backend);
    out.address = backend->vm.address;
    begun.backend = backend->vm.id;
    journal_.CommitIntent(fiber, context, begun);
    // The commit may have waited through an outage, and the engine have
    // begun to leave meanwhile.
    if (directory_.TakesWork(begun.backend)) {
      break;
    }
    out.resume = false;
  }
  return out;
}

void ModelRunner::RecordNotRun(Fiber& fiber, CallContext& context) {
  auto done = context.Entry(EntryKind::kCallDone);
  done.verdict = Verdict::kNotRun;
  done.status = 503;
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

void ModelRunner::Run(Fiber& fiber, CallContext& context) {
  const auto body = json::parse(context.call.body);
  const auto known = MessagesOf(context.state());
  const auto added = NewMessages(known, body.at("messages"));
  auto messages = known;
  messages.insert(messages.end(), added.begin(), added.end());

  const auto request = added.dump();
  const auto answer_tokens = limits_.AnswerTokens(
      context, body.value("max_tokens", kDefaultAnswerTokens));
  const auto prompt_bound = PromptBound(context.state(), context.call.target,
                                        {request.size(), added.size()});
  context.budget =
      budgets_.Reserve(fiber, context.program.customer,
                       prompt_bound + answer_tokens, context.deadline);

  auto begun = context.Entry(EntryKind::kCallBegun);
  begun.idempotent = true;
  begun.request = request;
  begun.tokens = context.budget.tokens();
  const auto placed = Begin(fiber, context, begun);
  context.budget.MarkDispatched();
  const StrayGuard stray(strays_, context, begun.backend);

  EngineCall engine_call;
  engine_call.program = begun.customer + "/" + begun.program;
  engine_call.request_id = StreamId(begun.customer, begun.program, begun.key);
  engine_call.resume = placed.resume;
  engine_call.model = context.call.target;
  engine_call.messages = messages.dump();
  engine_call.max_tokens = answer_tokens;
  engine_call.priority = context.contract->priority;
  engine_call.idle_timeout = context.left();
  engine_call.on_text = [&context](std::string_view text) {
    AnswerFrame frame;
    frame.content = std::string(text);
    context.sink(frame);
  };
  auto done = context.Entry(EntryKind::kCallDone);
  done.backend = begun.backend;
  EngineResult result;
  try {
    result = engines_.Complete(fiber, placed.address, engine_call);
  } catch (const BackendFailure& e) {
    directory_.Doubt(begun.backend);
    if (e.verdict() != Verdict::kNotRun) {
      Cancel(placed.address, engine_call.request_id);
    }
    done.verdict = e.verdict();
    done.status = 502;
    done.tokens = e.verdict() == Verdict::kNotRun ? 0 : begun.tokens;
    context.budget.Settle(done.tokens);
    journal_.CommitOutcome(fiber, context, done);
    throw CallError(
        502, "engine_failed",
        std::string(e.what()) + "; retry with the same Idempotency-Key",
        e.verdict(), kRetrySoon);
  }
  done.verdict = Verdict::kRan;
  done.status = 200;
  done.answer = result.text;
  done.tokens = result.prompt_tokens + result.completion_tokens;
  context.budget.Settle(done.tokens);
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
