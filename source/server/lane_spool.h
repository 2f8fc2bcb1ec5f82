#ifndef SERVER_LANE_SPOOL_H_
#define SERVER_LANE_SPOOL_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <stdexcept>
#include <vector>

#include "core/lane_state.h"
#include "server/holder_client.h"
#include "server/lane_journal.h"

namespace comfreyfold {

// Thrown at a takeover when none of the lane's holders answers. The holders may
// have blocks that are not in the key-value service.
class HoldersUnreachable : public std::runtime_error {
 public:
  HoldersUnreachable(const std::string& what, bool all_gone)
      : std::runtime_error(what), all_gone_(all_gone) {}
  // True when every holder has left the fleet or has lost its blocks.
  bool all_gone() const { return all_gone_; }

 private:
  bool all_gone_;
};

// Thrown when another daemon is taking the lane over or has taken it over.
class HoldersSealed : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The blocks of one lane that are committed at its holders but not yet known to
// be in the key-value service, in order.
class LaneSpool {
 public:
  // `holder_client` is null when the lane has no holders.
  LaneSpool(HolderClient* holder_client, LaneJournal& journal, int lane)
      : holder_client_(holder_client), journal_(journal), lane_(lane) {}

  // Stores the block at every holder. Returns true when all of them have it; it
  // is then committed and waits for upload.
  bool Commit(Fiber& fiber,
              const std::vector<SpoolHolder>& holders,
              const LaneBlock& block);

  // Uploads the first waiting block to the service. Returns false when the
  // service has another daemon's block of that number. Throws KvUnavailable.
  bool UploadFirst(Fiber& fiber);

  // Called at a takeover. Seals one holder against earlier owners, uploads the
  // blocks that only the holders have and passes each to `apply`, which must
  // apply it to `state`. Returns the number of blocks. Throws
  // HoldersUnreachable, HoldersSealed or KvUnavailable.
  int Recover(Fiber& fiber,
              LaneState& state,
              const std::function<void(const LaneBlock&)>& apply);

  // Tells the holders that blocks up to `number` are in the service. Returns
  // false when a holder did not answer.
  bool Forget(Fiber& fiber,
              const std::vector<SpoolHolder>& holders,
              std::int64_t number);

  bool empty() const { return awaiting_upload_.empty(); }
  std::size_t size() const { return awaiting_upload_.size(); }
  // Number of the first block that waits for upload, or 0 when none does.
  std::int64_t first_number() const {
    return awaiting_upload_.empty() ? 0 : awaiting_upload_.front().number;
  }
  // True when a holder may have a block that it has not been told to forget.
  bool forget_pending() const { return forget_pending_; }
  void ClearForgetPending() { forget_pending_ = false; }

 private:
  SpoolHolder SealAnyHolder(Fiber& fiber, const LaneState& state);
  bool AllHoldersGone(Fiber& fiber, const std::vector<SpoolHolder>& holders);

  HolderClient* holder_client_;
  LaneJournal& journal_;
  int lane_;
  std::deque<LaneBlock> awaiting_upload_;
  bool forget_pending_ = false;
};

}  // namespace comfreyfold

#endif  // SERVER_LANE_SPOOL_H_
