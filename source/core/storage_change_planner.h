#ifndef CORE_STORAGE_CHANGE_PLANNER_H_
#define CORE_STORAGE_CHANGE_PLANNER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/storage_list.h"

namespace comfreyfold {

// What a daemon has found out about a disk of the list.
enum class DiskHealth {
  kAnswers,
  kSilent,  // Left a probe unanswered, and may only be slow.
  kDead,    // Left several unanswered. It may come back with its records.
  kGone,    // Has been absent for so long that it is not expected back.
  kLost,    // Its VM has another disk now, or nobody waits for it any more.
};
using DiskHealths = std::map<std::string, DiskHealth>;  // By disk.

// Decides which change of the storage list begins. Fewer disks than the
// tolerated losses and one are never left. More than the tolerated losses are
// removed at once only if the records of all of them are lost: any other may
// have the last copy of a record.
class StorageChangePlanner {
 public:
  explicit StorageChangePlanner(int tolerated_losses)
      : losses_(static_cast<std::size_t>(tolerated_losses)) {}

  // Whether `members` can hold enough copies of each record.
  bool IsEnough(const std::vector<StorageMember>& members) const {
    return members.size() >= losses_ + 1;
  }

  // Returns the change in which `joining` join. Members that are dead leave.
  // Returns null while one is silent, or too many are dead.
  std::optional<StorageList> Join(
      const StorageList& list,
      const DiskHealths& health,
      const std::vector<StorageMember>& joining) const;

  // Returns the change in which members that are gone leave although no disk
  // has asked to join; `joining` join as well. Returns null if there are none,
  // or until all others answer.
  std::optional<StorageList> Remove(
      const StorageList& list,
      const DiskHealths& health,
      const std::vector<StorageMember>& joining) const;

  // Returns the change in which `disk` leaves, which works. Members that are
  // dead leave too.
  std::optional<StorageList> Leave(const StorageList& list,
                                   const DiskHealths& health,
                                   const std::string& disk) const;

  // Whether a disk that the present change waits for cannot get done.
  static bool NeedsRestart(const StorageList& list, const DiskHealths& health);

  // Returns the present change begun anew without the disks that cannot get
  // done. `joining` join, and if too few disks are left, those that were to
  // leave stay. Returns null unless NeedsRestart(), or if too few are left.
  std::optional<StorageList> Restart(
      const StorageList& list,
      const DiskHealths& health,
      const std::vector<StorageMember>& joining) const;

  // Returns the members of `members` that are not known to answer.
  static std::vector<StorageMember> Awaited(
      const std::vector<StorageMember>& members,
      const DiskHealths& health);

 private:
  static DiskHealth HealthOf(const DiskHealths& health,
                             const std::string& disk);
  // Returns the disks of `members` with a health that `leaves` accepts, unless
  // too many of them may still have records that no other has.
  std::optional<std::vector<std::string>> Removable(
      const std::vector<StorageMember>& members,
      const DiskHealths& health,
      const std::function<bool(DiskHealth)>& leaves) const;

  std::size_t losses_;
};

}  // namespace comfreyfold

#endif  // CORE_STORAGE_CHANGE_PLANNER_H_
