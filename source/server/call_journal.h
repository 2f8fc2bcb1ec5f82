#ifndef SERVER_CALL_JOURNAL_H_
#define SERVER_CALL_JOURNAL_H_

#include "log/event_log.h"
#include "server/call_context.h"
#include "server/outcome_relay.h"

namespace comfreyfold {

// Writes a call's intent and outcome to its lane, and to the event log.
class CallJournal {
 public:
  CallJournal(EventLog& log, OutcomeRelay& relay) : log_(log), relay_(relay) {}

  // Returns once `begun` is known committed by this owner: only then may
  // the call be dispatched. Throws NotOwner or CallError (not run).
  void CommitIntent(Fiber& fiber,
                    const CallContext& context,
                    const LaneEntry& begun);

  // Returns once `done` is known committed, here or by the daemon that
  // owns the lane since: only then is the call over. Throws CallError
  // (may have run), or NotOwner for an entry that is no outcome.
  void CommitOutcome(Fiber& fiber,
                     const CallContext& context,
                     const LaneEntry& done);

 private:
  // Records that the call was not dispatched by this intent, and throws.
  void Withdraw(Fiber& fiber,
                const CallContext& context,
                const LaneEntry& begun);
  void AppendOutcome(Fiber& fiber,
                     const CallContext& context,
                     const LaneEntry& done);

  EventLog& log_;
  OutcomeRelay& relay_;
};

}  // namespace comfreyfold

#endif  // SERVER_CALL_JOURNAL_H_
