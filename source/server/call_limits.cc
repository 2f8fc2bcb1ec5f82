#include "server/call_limits.h"

#include <algorithm>

#include "core/call_error.h"

namespace comfreyfold {

void CallLimits::Check(const CallContext& context) {
  if (context.place > context.contract->max_turns) {
    throw CallError(429, "turn_limit",
                    "the contract allows " +
                        std::to_string(context.contract->max_turns) +
                        " calls a program; end it and start a new one",
                    Verdict::kNotRun);
  }
}

std::int64_t CallLimits::AnswerTokens(const CallContext& context,
                                      std::int64_t asked) const {
  return std::min(asked, context.contract->max_call_tokens);
}

}  // namespace comfreyfold
