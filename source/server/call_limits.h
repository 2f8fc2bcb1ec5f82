#ifndef SERVER_CALL_LIMITS_H_
#define SERVER_CALL_LIMITS_H_

#include "server/call_journal.h"

namespace comfreyfold {

// Enforces the limits that a customer's contract sets for its programs.
class CallLimits {
 public:
  explicit CallLimits(CallJournal& journal) : journal_(journal) {}

  // Throws CallError (not run) when the call would exceed a limit. Ends the
  // program when it has reached its limit of calls, tokens or time.
  void Check(Fiber& fiber, CallContext& context);

  // Returns how many tokens a model turn may generate when the caller requests
  // `requested` tokens.
  std::int64_t MaxAnswerTokens(const CallContext& context,
                               std::int64_t requested) const;

 private:
  [[noreturn]] void EndProgram(Fiber& fiber,
                               CallContext& context,
                               const char* limit,
                               const std::string& allowed);

  CallJournal& journal_;
};

}  // namespace comfreyfold

#endif  // SERVER_CALL_LIMITS_H_
