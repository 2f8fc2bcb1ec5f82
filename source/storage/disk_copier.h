#ifndef STORAGE_DISK_COPIER_H_
#define STORAGE_DISK_COPIER_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/storage_list.h"
#include "fleet/fleet_view.h"
#include "storage/replica_calls.h"
#include "storage/storage_node.h"

namespace comfreyfold {

// Brings to this VM's disk what it lacks while the storage members change.
class DiskCopier {
 public:
  DiskCopier(Loop& loop,
             FleetView& view,
             StorageNode& node,
             ReplicaCalls& replicas,
             std::string disk,
             int tolerated_losses);

  // True when the disk has all that it is to have in `list`.
  bool Copy(Fiber& fiber, const StorageList& list);

 private:
  // From all members but the tolerated losses; false when fewer answered.
  bool CopyUses(Fiber& fiber, const StorageList& list);
  bool CopyUsesOf(Fiber& fiber,
                  const StorageList& list,
                  const StorageMember& member);
  bool CopyTurns(Fiber& fiber, const StorageList& list);
  // Which disks hold each turn, as indexes into `list.AllMembers()`.
  using Holders = std::unordered_map<std::string, std::vector<std::size_t>>;
  bool AskHolders(Fiber& fiber, const StorageList& list, Holders& holders);
  bool AskWithEpoch(Fiber& fiber,
                    const StorageList& list,
                    const StorageMember& member,
                    const StorageRequest& request,
                    StorageReply& reply);
  bool Fetch(Fiber& fiber,
             const StorageMember& from,
             std::vector<std::string> ids);

  Loop& loop_;
  FleetView& view_;
  StorageNode& node_;
  ReplicaCalls& replicas_;
  std::string disk_;
  int tolerated_losses_;
  // Disks from which all uses were copied since the list has this epoch.
  std::set<std::string> uses_copied_from_;
  std::int64_t uses_copied_epoch_ = 0;
};

}  // namespace comfreyfold

#endif  // STORAGE_DISK_COPIER_H_
