#ifndef SERVER_PROGRAM_REQUESTS_H_
#define SERVER_PROGRAM_REQUESTS_H_

#include "server/call_journal.h"

namespace comfreyfold {

// Serves the requests of a caller about a program: ending it, registering a
// sub-agent, reading its history, and reading recorded answers.
class ProgramRequests {
 public:
  explicit ProgramRequests(CallJournal& journal) : journal_(journal) {}

  // Each function passes a kDone frame to the context's sink or throws
  // CallError. End and StartSubagent may also throw NotOwner.
  void End(Fiber& fiber, CallContext& context);
  void StartSubagent(Fiber& fiber, CallContext& context);
  void ReadHistory(const CallContext& context);
  void ReadAnswer(const CallContext& context);
  void AnswerFromRecord(const CallContext& context, const CallRecord& record);

 private:
  CallJournal& journal_;
};

}  // namespace comfreyfold

#endif  // SERVER_PROGRAM_REQUESTS_H_
