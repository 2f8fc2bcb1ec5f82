#ifndef SERVER_CALL_JOURNAL_H_
#define SERVER_CALL_JOURNAL_H_

#include "log/event_log.h"
#include "server/call_context.h"
#include "server/outcome_relay.h"

namespace comfreyfold {

// Writes the intent and the outcome of a call to its lane's journal and to the
// event log.
class CallJournal {
 public:
  CallJournal(EventLog& log, OutcomeRelay& relay) : log_(log), relay_(relay) {}

  // Returns once `intent` is known to be committed by this owner. The call must
  // not be dispatched before. Throws NotOwner or CallError; in both cases the
  // call must not be dispatched for this intent.
  void CommitIntent(Fiber& fiber,
                    const CallContext& context,
                    const LaneEntry& intent);

  // Returns once `outcome` is known to be committed, by this owner or by the
  // daemon that owns the lane now. The call is not complete before. Throws
  // CallError (may have run), or NotOwner when the lane was lost and `outcome`
  // is not the outcome of a call.
  void CommitOutcome(Fiber& fiber,
                     const CallContext& context,
                     const LaneEntry& outcome);

 private:
  // Records an outcome for an intent that was committed but not dispatched,
  // and throws CallError.
  void CancelIntent(Fiber& fiber,
                    const CallContext& context,
                    const LaneEntry& intent);
  void AppendOutcome(Fiber& fiber,
                     const CallContext& context,
                     const LaneEntry& outcome);

  EventLog& log_;
  OutcomeRelay& relay_;
};

}  // namespace comfreyfold

#endif  // SERVER_CALL_JOURNAL_H_
