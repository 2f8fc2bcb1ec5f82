#ifndef STORAGE_STORAGE_MEMBERSHIP_MANAGER_H_
#define STORAGE_STORAGE_MEMBERSHIP_MANAGER_H_

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "clients/kv_store.h"
#include "core/storage_change_planner.h"
#include "fleet/decision_log.h"
#include "fleet/fleet_view.h"
#include "storage/disk_copier.h"
#include "storage/member_prober.h"
#include "storage/member_watch.h"
#include "storage/replica_client.h"
#include "storage/storage_node.h"

namespace comfreyfold {

// Key of the list of storage members in the key-value service.
inline constexpr const char* kStorageListKey = "comfreyfold/storage";
// Prefix of the keys under which disks announce that they want to join; the
// disk's id follows.
inline constexpr const char* kJoiningPrefix = "comfreyfold/joining/";

// Maintains the list of storage members: adds this VM's disk, copies the
// records that the disk lacks, removes disks that are gone, and removes this
// VM's disk when it is to be emptied. Each change of the list is one
// compare-and-swap in the key-value service.
class StorageMembershipManager {
 public:
  StorageMembershipManager(Loop& loop,
                           HttpClient& http,
                           KvStore& store,
                           FleetView& view,
                           StorageNode& node,
                           DecisionLog& log,
                           StorageMember self,
                           int tolerated_losses,
                           std::chrono::milliseconds catch_up_time,
                           bool may_create_list);

  void Run(Fiber& fiber);
  // Ends Run() after its current step.
  void Stop();
  // Announces the stop of this daemon to the other members.
  void AnnounceStop() { watch_.AnnounceStop(); }
  bool announcing() const { return watch_.announcing(); }

  // Removes this VM's disk from the list, because operators want the VM
  // emptied. Calls `on_empty` once the disk is no member any more; the other
  // disks have copies of all its records then.
  void Leave(std::function<void(Fiber&)> on_empty);

  // Members that are absent as far as this daemon watches them.
  std::size_t absent_members() const { return watch_.absence().absent(); }
  // How long the present change has been under way; 0: there is none.
  std::chrono::milliseconds ChangeTime() const;

 private:
  // Takes the next action that the current list requires.
  void Step(Fiber& fiber);
  // Creates the list on the first start of the whole system.
  void CreateList(Fiber& fiber);
  void Join(Fiber& fiber);
  // Writes the announcement of this VM's disk.
  void Announce(Fiber& fiber);
  void AnnounceOnce(Fiber& fiber);
  // Returns the other disks that are announced and answer.
  std::vector<StorageMember> JoiningDisks(Fiber& fiber);
  // Deletes the announcement of this VM's disk.
  void WithdrawAnnouncement(Fiber& fiber);
  // Proposes a list without this VM's disk, or reports that it is no member.
  void LeaveList(Fiber& fiber);
  void LeaveAsNonMember(Fiber& fiber);
  // Proposes a list without the members that are gone, if there are any.
  void RemoveAbsent(Fiber& fiber);
  // Copies what the disk lacks in the current change, then adds the disk to the
  // synced ones.
  void Synchronize(Fiber& fiber);
  // Takes the next action in the change of the list that is under way.
  void StepInChange(Fiber& fiber);
  // Replaces the current change by one without the disks that cannot get done,
  // unless a disk that is done can do so.
  void RestartChange(Fiber& fiber);
  // Writes `list` if it is newer than the one in the key-value service and that
  // one has not changed since it was read. Returns whether it was written.
  bool Propose(Fiber& fiber, const StorageList& list, const char* reason);
  // Names the VMs of the members that a change waits for, and how long.
  void LogDelay(const char* event,
                const std::vector<StorageMember>& awaited,
                bool has_room = true);
  // Whether this VM's disk and those with `replies` have room for the copies of
  // a change without one of them.
  bool HaveRoomForCopies(const StorageReplies& replies) const;

  Loop& loop_;
  KvStore& store_;
  FleetView& view_;
  StorageNode& node_;
  DecisionLog& log_;
  StorageMember self_;
  bool may_create_list_;
  ReplicaClient replicas_;
  DiskCopier copier_;
  MemberWatch watch_;
  MemberProber prober_;
  StorageChangePlanner planner_;
  Condition wake_;
  std::int64_t change_version_ = 0;
  // When the current change was first seen.
  std::int64_t change_epoch_ = 0;
  TimePoint change_began_at_{};
  // When the present delay of a join, removal or retirement began.
  TimePoint delayed_since_{};
  // When the current change made progress, or all its disks answered, last.
  std::chrono::steady_clock::time_point change_waits_since_{};
  int failed_copies_ = 0;  // Consecutive ones.
  bool announced_ = false;
  bool stopped_ = false;
  bool leaving_ = false;
  // This daemon has proposed the last change in which its disk left.
  bool leave_proposed_ = false;
  bool watching_ = false;
  std::function<void(Fiber&)> on_empty_;
  std::mt19937 random_;
};

}  // namespace comfreyfold

#endif  // STORAGE_STORAGE_MEMBERSHIP_MANAGER_H_
