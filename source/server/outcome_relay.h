#ifndef SERVER_OUTCOME_RELAY_H_
#define SERVER_OUTCOME_RELAY_H_

#include <chrono>

#include "core/lane_entry.h"
#include "core/membership.h"
#include "log/event_log.h"
#include "net/http_client.h"
#include "server/lane_manager.h"

namespace comfreyfold {

// Takes the outcome of a call that ran here to the daemon that owns its lane
// now.
class OutcomeRelay {
 public:
  OutcomeRelay(HttpClient& http,
               Membership& membership,
               LaneManager& lanes,
               EventLog& log)
      : http_(http), membership_(membership), lanes_(lanes), log_(log) {}

  // True once the lane's owner has `done`, of a call begun in `epoch`, in
  // the journal; false when it would not have it or did not answer in time.
  bool Send(Fiber& fiber,
            const LaneEntry& done,
            std::int64_t epoch,
            std::chrono::milliseconds timeout);

  enum class Reception { kRecorded, kRefused, kNotOwner };

  // At the owner: puts an outcome that arrived into the journal.
  Reception Receive(Fiber& fiber, const LaneBlock& outcome);

 private:
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
