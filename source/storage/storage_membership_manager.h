#ifndef STORAGE_STORAGE_MEMBERSHIP_MANAGER_H_
#define STORAGE_STORAGE_MEMBERSHIP_MANAGER_H_

#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "clients/kv_store.h"
#include "fleet/decision_log.h"
#include "fleet/fleet_view.h"
#include "storage/disk_copier.h"
#include "storage/replica_client.h"
#include "storage/storage_node.h"

namespace comfreyfold {

// Key of the list of storage members in the key-value service.
inline constexpr const char* kStorageListKey = "comfreyfold/storage";
// Keys of disks that want to join, by their ids.
inline constexpr const char* kJoiningPrefix = "comfreyfold/joining/";

// Keeps the list of storage members true: joins with this VM's disk, copies
// what it lacks, lets go of disks that are gone, and leaves when its VM is to
// be emptied. Each change is one compare-and-swap in the key-value service.
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
                           bool may_found);

  void Run(Fiber& fiber);
  // Proposes nothing any more.
  void Stop() { stopped_ = true; }

  // The operators want this VM's disk emptied; `on_empty` is told once
  // others have all that it holds.
  void Leave(std::function<void(Fiber&)> on_empty);

 private:
  void Step(Fiber& fiber);
  void Found(Fiber& fiber);
  void Join(Fiber& fiber);
  void Announce(Fiber& fiber);
  std::vector<StorageMember> Announced(Fiber& fiber);
  void Withdraw(Fiber& fiber);
  void LeaveList(Fiber& fiber);
  void Synchronize(Fiber& fiber);
  void DropDead(Fiber& fiber);
  bool Propose(Fiber& fiber, const StorageList& list, const char* reason);
  // Members that answer, after they have adopted the current list.
  std::vector<StorageMember> Reachable(
      Fiber& fiber,
      const std::vector<StorageMember>& members,
      std::chrono::milliseconds timeout);
  bool EnoughOf(const std::vector<StorageMember>& members,
                const std::vector<StorageMember>& reachable) const;

  Loop& loop_;
  KvStore& store_;
  FleetView& view_;
  StorageNode& node_;
  DecisionLog& log_;
  StorageMember self_;
  int tolerated_losses_;
  bool may_found_;
  ReplicaClient replicas_;
  DiskCopier copier_;
  Condition wake_;
  std::int64_t changing_version_ = 0;
  std::chrono::steady_clock::time_point changing_since_{};
  int copies_failed_ = 0;  // In a row.
  bool announced_ = false;
  bool stopped_ = false;
  bool leaving_ = false;
  std::function<void(Fiber&)> on_empty_;
  std::mt19937 draw_;
};

}  // namespace comfreyfold

#endif  // STORAGE_STORAGE_MEMBERSHIP_MANAGER_H_
