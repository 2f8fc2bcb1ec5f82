#include "server/call_limits.h"

#include <algorithm>

#include "core/call_error.h"
#include "core/program_limits.h"

namespace comfreyfold {

namespace {

void CheckModel(const CallContext& context) {
  const auto& models = context.contract->models;
  const bool allowed =
      models.empty() || std::find(models.begin(), models.end(),
                                  context.call.target) != models.end();
  if (context.call.operation == Operation::kModel && !allowed) {
    throw CallError(403, "model_not_allowed",
                    "the contract does not allow model '" +
                        context.call.target + "'; use one that it lists",
                    Verdict::kNotRun);
  }
}

}  // namespace

void CallLimits::Check(Fiber& fiber, CallContext& context) {
  CheckModel(context);
  const auto& contract = *context.contract;
  if (context.call_number > contract.max_turns) {
    EndProgram(fiber, context, "turn_limit",
               std::to_string(contract.max_turns) + " calls");
  }
  const auto* program = context.state();
  if (program == nullptr) {
    return;
  }
  if (program->tokens >= contract.max_program_tokens) {
    EndProgram(fiber, context, "token_limit",
               std::to_string(contract.max_program_tokens) + " tokens");
  }
  if (TimeLimitExceeded(*program, contract, WallClock())) {
    EndProgram(fiber, context, "time_limit",
               std::to_string(contract.max_program_time.count()) + " s");
  }
}

void CallLimits::EndProgram(Fiber& fiber,
                            CallContext& context,
                            const char* limit,
                            const std::string& allowed) {
  auto ended = context.MakeEntry(EntryKind::kProgramEnded);
  ended.target = limit;
  try {
    journal_.CommitOutcome(fiber, context, ended);
  } catch (const CallError&) {
    // The call is refused anyway. The next call tries again to end the
    // program.
  }
  throw CallError(429, limit,
                  "the contract allows " + allowed +
                      " per program; the program was ended: start a new one",
                  Verdict::kNotRun);
}

std::int64_t CallLimits::MaxAnswerTokens(const CallContext& context,
                                         std::int64_t requested) const {
  const auto& contract = *context.contract;
  const auto* program = context.state();
  const auto used = program == nullptr ? 0 : program->tokens;
  return std::min(
      {requested, contract.max_call_tokens,
       std::max<std::int64_t>(1, contract.max_program_tokens - used)});
}

}  // namespace comfreyfold
