#ifndef SERVER_CALL_JOURNAL_H_
#define SERVER_CALL_JOURNAL_H_

#include "log/event_log.h"
#include "server/call_context.h"

namespace comfreyfold {

// Writes a call's intent and outcome to its lane, and to the event log.
class CallJournal {
 public:
  explicit CallJournal(EventLog& log) : log_(log) {}

  // Returns once `begun` is known committed by this owner: only then may
  // the call be dispatched. Throws NotOwner or CallError (not run).
  void CommitIntent(Fiber& fiber,
                    const CallContext& context,
                    const LaneEntry& begun);

  // Returns once `done` is known committed: only then is the call over.
  // Throws CallError (may have run).
  void CommitOutcome(Fiber& fiber,
                     const CallContext& context,
                     const LaneEntry& done);

 private:
  // Records that the call was not dispatched, and throws.
  void Withdraw(Fiber& fiber,
                const CallContext& context,
                const LaneEntry& begun);
  void AppendOutcome(Fiber& fiber, const CallContext& context, LaneEntry done);

  EventLog& log_;
};

}  // namespace comfreyfold

#endif  // SERVER_CALL_JOURNAL_H_
