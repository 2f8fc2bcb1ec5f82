#ifndef SERVER_CALL_LIMITS_H_
#define SERVER_CALL_LIMITS_H_

#include "server/call_context.h"

namespace comfreyfold {

// The limits that a customer's contract sets to its programs.
class CallLimits {
 public:
  // Throws CallError (not run) when the call would pass one.
  void Check(const CallContext& context);

  // The most tokens a model turn that asks for `asked` may generate.
  std::int64_t AnswerTokens(const CallContext& context,
                            std::int64_t asked) const;
};

}  // namespace comfreyfold

#endif  // SERVER_CALL_LIMITS_H_
