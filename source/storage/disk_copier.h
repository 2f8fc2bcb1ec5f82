#ifndef STORAGE_DISK_COPIER_H_
#define STORAGE_DISK_COPIER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/copy_plan.h"
#include "core/storage_list.h"
#include "core/turn_digest.h"
#include "fleet/fleet_view.h"
#include "storage/replica_client.h"
#include "storage/storage_node.h"

namespace comfreyfold {

// Copies to this VM's disk the records that it lacks while the set of storage
// members changes.
class DiskCopier {
 public:
  DiskCopier(Loop& loop,
             FleetView& view,
             StorageNode& node,
             ReplicaClient& replicas,
             std::string disk,
             int tolerated_losses);

  // Returns true when the disk holds every record that the next set of `list`
  // requires of it.
  bool Copy(Fiber& fiber, const StorageList& list);

  // What the last Copy() did, and how long its steps took.
  struct Progress {
    std::chrono::milliseconds uses_time{0};
    std::chrono::milliseconds digests_time{0};
    std::chrono::milliseconds plan_time{0};
    std::chrono::milliseconds turns_time{0};
    std::chrono::milliseconds sync_time{0};
    int uses = 0;
    int turns = 0;
  };
  const Progress& progress() const { return progress_; }

 private:
  // Copies token uses from all members except the tolerated losses. Returns
  // false when fewer members answered.
  bool CopyUses(Fiber& fiber, const StorageList& list);
  // Goes on after the last page that was copied.
  bool CopyUsesOf(Fiber& fiber,
                  const StorageList& list,
                  const StorageMember& member);
  bool CopyTurns(Fiber& fiber, const StorageList& list);
  // What the disks hold, by their index in `list.AllMembers()`.
  struct Digests {
    std::map<std::size_t, TurnDigest> by_member;
    std::set<std::string> answered;  // Disks other than this one.
    // Ids of the turns of disks that do not return turns by their keys.
    std::map<std::size_t, std::map<TurnKey, std::string>> ids;
  };
  // Whether the disks `answered` of the members, with those that were
  // `replaced` meanwhile, have told all that is to be had from the members.
  bool IsEnough(const StorageList& list,
                const std::set<std::string>& answered,
                const std::set<std::string>& replaced) const;
  // Returns false when too few disks have told what they hold.
  bool FindHolders(Fiber& fiber, const StorageList& list, Digests& digests);
  static void TakeDigest(std::size_t member,
                         const StorageReply& reply,
                         Digests& digests);
  // Whether the turns of a disk that has answered are still to be learned.
  bool AwaitsDigests(const StorageList& list,
                     const StorageReplies& replies) const;
  // Sends `request` to `member`. A member that reports an older epoch is sent
  // `list` first.
  bool CallWithList(Fiber& fiber,
                    const StorageList& list,
                    const StorageMember& member,
                    const StorageRequest& request,
                    StorageReply& reply);
  // Lets other requests be answered in between.
  void MakePlan(Fiber& fiber, CopyPlan& plan);
  // Fetches what `plan` says from several disks at the same time.
  bool FetchAll(Fiber& fiber,
                const StorageList& list,
                const CopyPlan& plan,
                const Digests& digests);
  // Copies the turns `keys` from `from`, in several requests if necessary.
  // `ids` are their ids, if `from` does not return turns by their keys.
  bool FetchTurns(Fiber& fiber,
                  const StorageMember& from,
                  std::vector<TurnKey> keys,
                  const std::map<TurnKey, std::string>& ids);
  // Sends the turns `ids` to `to`, in several requests if necessary.
  bool SendTurns(Fiber& fiber,
                 const StorageList& list,
                 const StorageMember& to,
                 const std::vector<std::string>& ids);

  Loop& loop_;
  FleetView& view_;
  StorageNode& node_;
  ReplicaClient& replicas_;
  std::string disk_;
  int tolerated_losses_;
  // Disks from which all uses have been copied in epoch `uses_copied_epoch_`.
  std::set<std::string> uses_copied_from_;
  // Disks whose VMs had another disk when they were asked in that epoch.
  std::set<std::string> replaced_disks_;
  // The last program whose uses have been copied in this epoch, by disk.
  std::map<std::string, std::string> uses_copied_up_to_;
  std::int64_t uses_copied_epoch_ = 0;
  TimePoint copy_started_at_{};  // In this epoch.
  std::size_t attempts_ = 0;
  Progress progress_;
};

}  // namespace comfreyfold

#endif  // STORAGE_DISK_COPIER_H_
