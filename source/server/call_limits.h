#ifndef SERVER_CALL_LIMITS_H_
#define SERVER_CALL_LIMITS_H_

#include "server/call_journal.h"

namespace comfreyfold {

// The limits that a customer's contract sets to its programs.
class CallLimits {
 public:
  explicit CallLimits(CallJournal& journal) : journal_(journal) {}

  // Throws CallError (not run) when the call would pass one. A program that
  // would go on past its limit of turns, tokens or time is ended.
  void Check(Fiber& fiber, CallContext& context);

  // The most tokens a model turn that asks for `asked` may generate.
  std::int64_t AnswerTokens(const CallContext& context,
                            std::int64_t asked) const;

 private:
  [[noreturn]] void EndRunaway(Fiber& fiber,
                               CallContext& context,
                               const char* limit,
                               const std::string& allowed);

  CallJournal& journal_;
};

}  // namespace comfreyfold

#endif  // SERVER_CALL_LIMITS_H_
