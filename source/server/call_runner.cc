#include "server/call_runner.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "core/hash.h"
#include "server/history.h"

namespace comfreyfold {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kRetrySoon{500};
constexpr std::int64_t kDefaultAnswerTokens = 16;

// Counts a call against a server for as long as it lives. Holds the id:
// the directory may drop the server meanwhile.
class InFlight {
 public:
  InFlight(BackendDirectory& directory, Backend& backend)
      : directory_(directory), id_(backend.vm.id) {
    ++backend.in_flight;
  }
  ~InFlight() {
    if (auto* backend = directory_.Find(id_)) {
      --backend->in_flight;
    }
  }
  InFlight(const InFlight&) = delete;
  InFlight& operator=(const InFlight&) = delete;

 private:
  BackendDirectory& directory_;
  std::string id_;
};

CallKind KindOf(Operation operation) {
  switch (operation) {
    case Operation::kTool:
      return CallKind::kTool;
    case Operation::kService:
      return CallKind::kService;
    default:
      return CallKind::kModel;
  }
}

}  // namespace

// What one call carries through its steps.
struct CallRunner::Context {
  const ForwardedCall& call;
  const FrameSink& sink;
  std::shared_ptr<LaneOwner> lane;
  std::shared_ptr<const Contract> contract;
  ProgramKey program;
  std::chrono::steady_clock::time_point deadline;
  std::int64_t place = 0;

  milliseconds left() const {
    return std::max(milliseconds(1),
                    std::chrono::duration_cast<milliseconds>(
                        deadline - std::chrono::steady_clock::now()));
  }

  LaneEntry Entry(EntryKind kind) const {
    LaneEntry out;
    out.kind = kind;
    out.customer = program.customer;
    out.program = program.program;
    out.key = call.key;
    out.call = place;
    out.call_kind = KindOf(call.operation);
    out.target = call.target;
    return out;
  }
};

CallRunner::CallRunner(Loop& loop,
                       HttpClient& http,
                       LaneManager& lanes,
                       ContractStore& contracts,
                       BackendDirectory& backends,
                       EventLog& log)
    : loop_(loop),
      lanes_(lanes),
      contracts_(contracts),
      backends_(backends),
      log_(log),
      engines_(http),
      tools_(http),
      gate_(loop) {}

void CallRunner::Run(Fiber& fiber,
                     const ForwardedCall& call,
                     const FrameSink& sink) {
  Context context{call,
                  sink,
                  nullptr,
                  contracts_.FindByName(call.customer),
                  {call.customer, call.program},
                  std::chrono::steady_clock::now() + call.deadline};
  if (!context.contract) {
    throw CallError(403, "no_contract",
                    "customer '" + call.customer +
                        "' has no contract here yet; apply one or retry",
                    Verdict::kNotRun, kRetrySoon);
  }
  auto pass = gate_.Enter(context.program);
  if (!pass.Wait(fiber, context.left())) {
    throw CallError(503, "earlier_call_running",
                    "an earlier call of the program did not end in time; "
                    "retry with the same Idempotency-Key",
                    Verdict::kNotRun, kRetrySoon);
  }
  // Looked up after the wait: the lane may have moved meanwhile.
  const int lane = LaneOf(call.customer, call.program, lanes_.lanes());
  context.lane = lanes_.Find(lane);
  if (!context.lane) {
    throw NotOwner("lane " + std::to_string(lane) + " is not owned here");
  }
  switch (call.operation) {
    case Operation::kModel:
    case Operation::kTool:
    case Operation::kService:
      RunCall(fiber, context);
      break;
    case Operation::kEnd:
      EndProgram(fiber, context);
      break;
    case Operation::kHistory:
      ReadHistory(context);
      break;
    case Operation::kAnswer:
      ReadAnswer(context);
      break;
  }
}

void CallRunner::RunCall(Fiber& fiber, Context& context) {
  const auto& call = context.call;
  const auto digest =
      Hash64(call.body,
             Hash64(call.target, static_cast<std::uint64_t>(call.operation)));
  const auto admission = context.lane->state().Admit(
      {context.program, call.key, call.call, digest});
  context.place = admission.call;
  switch (admission.result) {
    case AdmitResult::kNew:
    case AdmitResult::kAgain:
      break;
    case AdmitResult::kAnswered:
      AnswerFromRecord(context, *admission.record);
      return;
    case AdmitResult::kMayHaveRun:
    case AdmitResult::kInFlight:
      throw CallError(409, "outcome_unknown",
                      "the call was begun and its outcome is not known; it "
                      "is not repeated because it is not idempotent: check "
                      "at the service, then go on with the next call",
                      Verdict::kMayHaveRun);
    case AdmitResult::kKeyReused:
      throw CallError(422, "key_reused",
                      "this Idempotency-Key belongs to another request of "
                      "the program; use a new key for a new request",
                      Verdict::kNotRun);
    case AdmitResult::kOutOfOrder:
      throw CallError(409, "out_of_order",
                      "the program's next call is number " +
                          std::to_string(admission.call) +
                          "; send that one, or leave the number out",
                      Verdict::kNotRun);
    case AdmitResult::kEarlierOpen:
      throw CallError(409, "earlier_call_open",
                      "an earlier call of the program has no outcome yet; "
                      "retry",
                      Verdict::kNotRun, kRetrySoon);
    case AdmitResult::kProgramEnded:
      throw CallError(410, "program_ended",
                      "the program has ended; start a new one",
                      Verdict::kNotRun);
  }
  CheckLimits(context);
  if (call.operation == Operation::kModel) {
    RunModel(fiber, context);
  } else {
    RunTool(fiber, context);
  }
}

void CallRunner::CheckLimits(const Context& context) {
  if (context.place > context.contract->max_turns) {
    throw CallError(429, "turn_limit",
                    "the contract allows " +
                        std::to_string(context.contract->max_turns) +
                        " calls a program; end it and start a new one",
                    Verdict::kNotRun);
  }
}

void CallRunner::CommitIntent(Fiber& fiber,
                              const Context& context,
                              const LaneEntry& begun) {
  try {
    context.lane->Append(fiber, {begun}, context.left());
  } catch (const LaneLost& e) {
    // Whoever owns the lane now decides; here nothing was dispatched.
    throw NotOwner(e.what());
  } catch (const AppendTimeout&) {
    throw CallError(503, "journal_unavailable",
                    "the program's journal cannot be written now; retry "
                    "with the same Idempotency-Key",
                    Verdict::kNotRun, kRetrySoon);
  }
  log_.Write({.name = "call_begun",
              .customer = begun.customer,
              .program = begun.program,
              .key = begun.key,
              .backend = begun.backend,
              .lane = context.lane->lane(),
              .epoch = context.lane->epoch(),
              .call = begun.call,
              .detail = begun.target});
}

void CallRunner::CommitOutcome(Fiber& fiber,
                               const Context& context,
                               const LaneEntry& done) {
  try {
    context.lane->Append(fiber, {done}, context.left());
  } catch (const std::runtime_error& e) {
    throw CallError(503, "outcome_not_recorded",
                    "the call was dispatched but its outcome is not in the "
                    "journal; fetch it with the same Idempotency-Key",
                    Verdict::kMayHaveRun, kRetrySoon);
  }
  log_.Write({.name = done.kind == EntryKind::kProgramEnded ? "program_ended"
                                                            : "call_done",
              .customer = done.customer,
              .program = done.program,
              .key = done.key,
              .backend = done.backend,
              .lane = context.lane->lane(),
              .epoch = context.lane->epoch(),
              .call = done.call,
              .detail = done.kind == EntryKind::kProgramEnded
                            ? std::string()
                            : std::string(ToString(done.verdict))});
}

Backend& CallRunner::ChooseEngine(const Context& context) {
  const auto servers = backends_.Serving(VmRole::kEngine, context.call.target);
  if (servers.empty()) {
    throw CallError(
        404, "no_engine",
        "no engine serves model '" + context.call.target + "'; check its name",
        Verdict::kNotRun, kRetrySoon);
  }
  const auto* program = context.lane->state().Find(context.program);
  if (program != nullptr) {
    for (auto* it : servers) {
      if (program->holds_on.contains(it->vm.id)) {
        return *it;
      }
    }
  }
  return **std::min_element(servers.begin(), servers.end(),
                            [](const Backend* a, const Backend* b) {
                              return a->in_flight < b->in_flight;
                            });
}

Backend& CallRunner::ChooseService(const Context& context) {
  const auto servers = backends_.Serving(VmRole::kService, context.call.target);
  if (servers.empty()) {
    throw CallError(
        404, "no_service",
        "no server offers '" + context.call.target + "'; check its name",
        Verdict::kNotRun, kRetrySoon);
  }
  return **std::min_element(servers.begin(), servers.end(),
                            [](const Backend* a, const Backend* b) {
                              return a->in_flight < b->in_flight;
                            });
}

void CallRunner::RunModel(Fiber& fiber, Context& context) {
  const auto body = json::parse(context.call.body);
  const auto known = MessagesOf(context.lane->state().Find(context.program));
  const auto added = NewMessages(known, body.at("messages"));
  auto messages = known;
  messages.insert(messages.end(), added.begin(), added.end());

  auto& backend = ChooseEngine(context);
  const InFlight in_flight(backends_, backend);
  const auto address = backend.vm.address;
  auto begun = context.Entry(EntryKind::kCallBegun);
  begun.backend = backend.vm.id;
  begun.idempotent = true;
  begun.request = added.dump();
  begun.request_digest =
      Hash64(context.call.body,
             Hash64(context.call.target,
                    static_cast<std::uint64_t>(context.call.operation)));
  CommitIntent(fiber, context, begun);

  EngineCall engine_call;
  engine_call.request_id = begun.customer + "." + begun.key;
  engine_call.program = begun.customer + "/" + begun.program;
  engine_call.model = context.call.target;
  engine_call.messages = messages.dump();
  engine_call.max_tokens =
      std::min<std::int64_t>(body.value("max_tokens", kDefaultAnswerTokens),
                             context.contract->max_call_tokens);
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
    result = engines_.Complete(fiber, address, engine_call);
  } catch (const BackendFailure& e) {
    done.verdict = e.verdict();
    done.status = 502;
    CommitOutcome(fiber, context, done);
    throw CallError(
        502, "engine_failed",
        std::string(e.what()) + "; retry with the same Idempotency-Key",
        e.verdict(), kRetrySoon);
  }
  done.verdict = Verdict::kRan;
  done.status = 200;
  done.answer = result.text;
  done.tokens = result.prompt_tokens + result.completion_tokens;
  CommitOutcome(fiber, context, done);

  AnswerFrame frame;
  frame.kind = FrameKind::kDone;
  frame.content = result.text;
  frame.prompt_tokens = result.prompt_tokens;
  frame.completion_tokens = result.completion_tokens;
  frame.cached_tokens = result.cached_tokens;
  context.sink(frame);
}

void CallRunner::RunTool(Fiber& fiber, Context& context) {
  const auto rule = context.contract->RuleFor(context.call.target);
  auto begun = context.Entry(EntryKind::kCallBegun);
  begun.idempotent = rule.idempotent;
  begun.request = context.call.body;
  begun.request_digest =
      Hash64(context.call.body,
             Hash64(context.call.target,
                    static_cast<std::uint64_t>(context.call.operation)));
  auto& backend = ChooseService(context);
  const InFlight in_flight(backends_, backend);
  const auto address = backend.vm.address;
  begun.backend = backend.vm.id;
  CommitIntent(fiber, context, begun);

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
    CommitOutcome(fiber, context, done);
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
  CommitOutcome(fiber, context, done);

  AnswerFrame frame;
  frame.kind = FrameKind::kDone;
  frame.status = result.status;
  frame.content = result.body;
  context.sink(frame);
}

ToolResult CallRunner::RunUrgent(Fiber& fiber, const ForwardedCall& call) {
  const auto contract = contracts_.FindByName(call.customer);
  if (!contract || !contract->RuleFor(call.target).urgent) {
    throw CallError(403, "not_urgent",
                    "the contract does not call '" + call.target +
                        "' urgent; send it as a tool call",
                    Verdict::kNotRun);
  }
  const auto rule = contract->RuleFor(call.target);
  auto servers = backends_.Serving(VmRole::kService, call.target);
  const ToolCall tool_call{call.target, call.key,
                           call.customer + "/" + call.program, call.body,
                           rule.timeout};
  auto verdict = Verdict::kNotRun;
  std::string why = "no server offers '" + call.target + "'";
  const auto attempts = static_cast<std::size_t>(rule.attempts);
  for (std::size_t i = 0; i < attempts && !servers.empty(); ++i) {
    const auto* server = servers[i % servers.size()];
    log_.Write({.name = "urgent_sent",
                .customer = call.customer,
                .program = call.program,
                .key = call.key,
                .backend = server->vm.id,
                .detail = call.target});
    try {
      return tools_.Call(fiber, std::string(server->vm.address), tool_call);
    } catch (const BackendFailure& e) {
      verdict = std::max(verdict, e.verdict());
      why = e.what();
      servers = backends_.Serving(VmRole::kService, call.target);
    }
  }
  throw CallError(502, "urgent_failed", why + "; send it again", verdict,
                  kRetrySoon);
}

void CallRunner::AnswerFromRecord(const Context& context,
                                  const CallRecord& record) {
  AnswerFrame frame;
  frame.kind = FrameKind::kDone;
  frame.status = record.status;
  frame.content = record.answer;
  frame.completion_tokens = record.tokens;
  context.sink(frame);
}

void CallRunner::EndProgram(Fiber& fiber, Context& context) {
  const auto* program = context.lane->state().Find(context.program);
  if (program == nullptr || !program->ended) {
    CommitOutcome(fiber, context, context.Entry(EntryKind::kProgramEnded));
  }
  AnswerFrame frame;
  frame.kind = FrameKind::kDone;
  frame.content = R"({"ended":true})";
  context.sink(frame);
}

void CallRunner::ReadHistory(const Context& context) {
  const auto* program = context.lane->state().Find(context.program);
  if (program == nullptr) {
    throw CallError(404, "no_program",
                    "the program is not known; check its name",
                    Verdict::kNotRun);
  }
  AnswerFrame frame;
  frame.kind = FrameKind::kDone;
  frame.content = HistoryOf(*program).dump();
  context.sink(frame);
}

void CallRunner::ReadAnswer(const Context& context) {
  const auto* program = context.lane->state().Find(context.program);
  const CallRecord* record = nullptr;
  if (program != nullptr) {
    for (const auto& it : program->calls) {
      if (it.key == context.call.key) {
        record = &it;
      }
    }
  }
  if (record == nullptr) {
    throw CallError(404, "no_call",
                    "no call of the program has this key; it did not run",
                    Verdict::kNotRun);
  }
  if (!record->done || record->verdict != Verdict::kRan) {
    throw CallError(409, "no_answer", "the call has no answer on record",
                    record->verdict);
  }
  AnswerFromRecord(context, *record);
}

void CallRunner::ReleaseHolds(Fiber& fiber) {
  // Copied: lanes come and go while this waits for engines.
  const auto owned = lanes_.owned();
  for (const auto& [lane, owner] : owned) {
    std::vector<LaneEntry> due;
    for (const auto& [key, program] : owner->state().programs()) {
      if (!program.ended) {
        continue;
      }
      for (const auto& it : program.holds_on) {
        LaneEntry entry;
        entry.kind = EntryKind::kHoldReleased;
        entry.customer = key.customer;
        entry.program = key.program;
        entry.backend = it;
        due.push_back(entry);
      }
    }
    for (const auto& it : due) {
      const auto* backend = backends_.Find(it.backend);
      try {
        if (backend != nullptr) {
          engines_.Release(fiber, std::string(backend->vm.address),
                           it.customer + "/" + it.program);
        } else if (!backends_.loaded()) {
          continue;
        }
        owner->Append(fiber, {it}, kRetrySoon);
        log_.Write({.name = "hold_released",
                    .customer = it.customer,
                    .program = it.program,
                    .backend = it.backend,
                    .lane = lane,
                    .epoch = owner->epoch()});
      } catch (const std::runtime_error&) {
        // Tried again on the next round.
      }
    }
  }
}

}  // namespace comfreyfold
