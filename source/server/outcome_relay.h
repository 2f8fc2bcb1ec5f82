#ifndef SERVER_OUTCOME_RELAY_H_
#define SERVER_OUTCOME_RELAY_H_

#include <chrono>

#include "core/lane_entry.h"
#include "core/membership.h"
#include "log/event_log.h"
#include "net/http_client.h"
#include "server/lane_manager.h"

namespace comfreyfold {

// Delivers the outcome of a call that ran at this daemon to the daemon that now
// owns the call's lane.
class OutcomeRelay {
 public:
  OutcomeRelay(HttpClient& http,
               Membership& membership,
               LaneManager& lanes,
               EventLog& log)
      : http_(http), membership_(membership), lanes_(lanes), log_(log) {}

  // Sends `done`, the outcome of a call begun in `epoch`, to the lane's owner.
  // Returns true once the owner has it in the journal, and false when the owner
  // refuses it or does not answer within `timeout`.
  bool Send(Fiber& fiber,
            const LaneEntry& done,
            std::int64_t epoch,
            std::chrono::milliseconds timeout);

  enum class Reception {
    kRecorded,
    kRefused,
    kNotOwner,
    kPending,  // Queued for the journal; to be sent again.
  };

  // Called at the owner: appends a received outcome to the journal.
  Reception Receive(Fiber& fiber, const LaneBlock& outcome);

 private:
  // Appends `done` to the journal of the lane, unless an earlier request has
  // queued it, and waits until it is recorded.
  static Reception Record(Fiber& fiber, LaneOwner& lane, const LaneEntry& done);
  Reception Deliver(Fiber& fiber,
                    const LaneOwnerView& owner,
                    const LaneBlock& outcome,
                    std::chrono::milliseconds timeout);

  HttpClient& http_;
  Membership& membership_;
  LaneManager& lanes_;
  EventLog& log_;
};

}  // namespace comfreyfold

#endif  // SERVER_OUTCOME_RELAY_H_
