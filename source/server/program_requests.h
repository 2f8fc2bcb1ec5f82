#ifndef SERVER_PROGRAM_REQUESTS_H_
#define SERVER_PROGRAM_REQUESTS_H_

#include "server/call_journal.h"

namespace comfreyfold {

// What a caller asks of a program beside its calls: its end, its history,
// and answers on record.
class ProgramRequests {
 public:
  explicit ProgramRequests(CallJournal& journal) : journal_(journal) {}

  // Each ends with a kDone frame or throws CallError.
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
