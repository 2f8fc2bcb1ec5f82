#ifndef STORAGE_REPLICA_REPLIES_H_
#define STORAGE_REPLICA_REPLIES_H_

#include <cstddef>
#include <string>
#include <vector>

#include "core/room_limits.h"
#include "core/storage_list.h"
#include "storage/replica_client.h"

namespace comfreyfold {

// What the replies of several replicas amount to.

// Returns how many of `disks` have done what was requested.
std::size_t CountDone(const StorageReplies& replies,
                      const std::vector<std::string>& disks);
std::size_t CountAllDone(const StorageReplies& replies);
// Whether a quorum of each set has done it; false if there is no set.
bool HasQuorums(const std::vector<ReplicaSet>& sets,
                const StorageReplies& replies);
// Whether a replica has a list of another epoch.
bool HasOtherEpoch(const StorageReplies& replies);
// Returns how many of `members` say for certain that they lack the turn.
std::size_t CountAbsentReplies(const std::vector<StorageMember>& members,
                               const StorageReplies& replies);

// Returns what the disk that replied has room for.
DiskRoom RoomIn(const StorageReply& reply);

// Moves the first of `members` that are a quorum of each set together to the
// front, in the same order. Returns how many these are.
std::size_t MoveQuorumsToFront(const std::vector<ReplicaSet>& sets,
                               std::vector<StorageMember>& members);

// Returns the members of `list` that belong to one of `sets`.
std::vector<StorageMember> MembersIn(const StorageList& list,
                                     const std::vector<ReplicaSet>& sets);

}  // namespace comfreyfold

#endif  // STORAGE_REPLICA_REPLIES_H_
