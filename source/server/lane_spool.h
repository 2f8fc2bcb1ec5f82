#ifndef SERVER_LANE_SPOOL_H_
#define SERVER_LANE_SPOOL_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <stdexcept>
#include <vector>

#include "core/lane_state.h"
#include "server/holder_links.h"
#include "server/lane_journal.h"

namespace comfreyfold {

// None of the lane's holders answers a daemon that wants to take the lane
// over: they may have blocks that are not in the service.
class HoldersUnreachable : public std::runtime_error {
 public:
  HoldersUnreachable(const std::string& what, bool all_gone)
      : std::runtime_error(what), all_gone_(all_gone) {}
  // No holder is a member of the fleet any more, or its blocks are lost.
  bool all_gone() const { return all_gone_; }

 private:
  bool all_gone_;
};

// Another daemon is taking the lane over, or has.
class HoldersSealed : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One lane's blocks that are committed by its holders and not yet in the
// service, in order.
class LaneSpool {
 public:
  // `links` null: the lane has no holders.
  LaneSpool(HolderLinks* links, LaneJournal& journal, int lane)
      : links_(links), journal_(journal), lane_(lane) {}

  // True when every holder has the block; then it is committed, and waits.
  bool Commit(Fiber& fiber,
              const std::vector<SpoolHolder>& holders,
              const LaneBlock& block);

  // Puts the first waiting block into the service. False when another
  // daemon's block is there. Throws KvUnavailable.
  bool UploadFirst(Fiber& fiber);

  // At a takeover: seals a holder against the owners before, and puts what
  // only the holders have into the service and into `state`. Returns how
  // many blocks. Throws HoldersUnreachable, HoldersSealed or KvUnavailable.
  int Recover(Fiber& fiber,
              LaneState& state,
              const std::function<void(const LaneBlock&)>& apply);

  // False when a holder did not answer.
  bool Forget(Fiber& fiber,
              const std::vector<SpoolHolder>& holders,
              std::int64_t number);

  bool empty() const { return waiting_.empty(); }
  std::size_t size() const { return waiting_.size(); }
  // The first number that the service is not known to have; 0: none waits.
  std::int64_t first() const {
    return waiting_.empty() ? 0 : waiting_.front().number;
  }
  // A holder may have a block that it was not told to forget.
  bool to_forget() const { return to_forget_; }
  void Forgotten() { to_forget_ = false; }

 private:
  SpoolHolder SealOne(Fiber& fiber, const LaneState& state);
  bool AllGone(Fiber& fiber, const std::vector<SpoolHolder>& holders);

  HolderLinks* links_;
  LaneJournal& journal_;
  int lane_;
  std::deque<LaneBlock> waiting_;
  bool to_forget_ = false;
};

}  // namespace comfreyfold

#endif  // SERVER_LANE_SPOOL_H_
