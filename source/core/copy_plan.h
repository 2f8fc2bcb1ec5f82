#ifndef CORE_COPY_PLAN_H_
#define CORE_COPY_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/storage_list.h"
#include "core/turn_digest.h"

namespace comfreyfold {

// Chooses which turns a disk copies in a change of the list: those that have
// too few copies in the next set. The disks that receive the missing copies are
// chosen by rendezvous hashing of the turn's id, so that all disks choose the
// same ones independently, and fetch them. A disk that had copied before this
// one answered fetches no more, so this one sends it what it is the first to
// have.
class CopyPlan {
 public:
  // `reachable` are the disks that have copied and told what they hold. The
  // sources differ from one `attempt` to the next.
  CopyPlan(const StorageList& list,
           const std::string& disk,
           int tolerated_losses,
           const std::set<std::string>& reachable,
           std::size_t attempt);

  // Adds what the disk with the index `member` in `list.AllMembers()` holds.
  void Add(std::size_t member, TurnDigest digest);

  // Looks at `max_turns` further turns. Returns false when none is left.
  bool Advance(std::size_t max_turns);

  // Turns to fetch, by the index of the disk that has them.
  const std::map<std::size_t, std::vector<TurnKey>>& fetches() const {
    return fetches_;
  }
  // Turns to send, by the index of the disk that is to receive them.
  const std::map<std::size_t, std::vector<TurnKey>>& sends() const {
    return sends_;
  }

 private:
  struct Cursor {
    std::size_t member = 0;
    TurnDigest digest;
    std::size_t next = 0;
    bool ended() const { return next == digest.size(); }
    const DigestEntry& entry() const { return digest[next]; }
  };

  // Moves the holders of the next turn to `holders_`, in ascending order.
  // Returns false when no turn is left.
  bool TakeNext(TurnKey& key);
  // Chooses for the turn `key` and its `holders_`.
  void Choose(const TurnKey& key);
  // Sets `order_` to the members of the next set that lack the turn, in order
  // of preference. Returns how many have it.
  std::size_t OrderMissing(const TurnKey& key);

  std::vector<std::string> disks_;  // Of all members.
  std::vector<bool> in_next_;
  std::vector<bool> reachable_;
  std::size_t self_ = 0;
  std::size_t copies_ = 1;
  std::size_t attempt_ = 0;
  std::vector<Cursor> cursors_;
  std::vector<std::size_t> holders_;
  std::vector<std::pair<std::uint64_t, std::size_t>> order_;
  std::map<std::size_t, std::vector<TurnKey>> fetches_;
  std::map<std::size_t, std::vector<TurnKey>> sends_;
};

}  // namespace comfreyfold

#endif  // CORE_COPY_PLAN_H_
