#include "storage/replica_replies.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace comfreyfold {

std::size_t CountDone(const StorageReplies& replies,
                      const std::vector<std::string>& disks) {
  return static_cast<std::size_t>(
      std::count_if(disks.begin(), disks.end(), [&replies](const auto& disk) {
        const auto it = replies.find(disk);
        return it != replies.end() && it->second.status == StorageStatus::kDone;
      }));
}

std::size_t CountAllDone(const StorageReplies& replies) {
  return static_cast<std::size_t>(std::count_if(
      replies.begin(), replies.end(),
      [](const auto& it) { return it.second.status == StorageStatus::kDone; }));
}

// The request has to be sent again then, so there is no use in waiting for
// further replicas, which may be dead.
bool HasOtherEpoch(const StorageReplies& replies) {
  return std::any_of(replies.begin(), replies.end(), [](const auto& it) {
    return it.second.status == StorageStatus::kOldEpoch ||
           it.second.status == StorageStatus::kNewEpoch;
  });
}

DiskRoom RoomIn(const StorageReply& reply) {
  if (reply.overfull) {
    return DiskRoom::kNothing;
  }
  if (reply.full) {
    return DiskRoom::kEndedTurns;
  }
  return reply.new_chains_in.count() > 0 ? DiskRoom::kNewTurns
                                         : DiskRoom::kNewChains;
}

std::vector<StorageMember> MembersIn(const StorageList& list,
                                     const std::vector<ReplicaSet>& sets) {
  std::vector<StorageMember> out;
  for (const auto& member : list.AllMembers()) {
    const bool is_replica =
        std::any_of(sets.begin(), sets.end(), [&member](const auto& set) {
          return std::find(set.disks.begin(), set.disks.end(), member.disk) !=
                 set.disks.end();
        });
    if (is_replica) {
      out.push_back(member);
    }
  }
  return out;
}

// While the list changes, the old and the new set have most disks in common.
std::size_t MoveQuorumsToFront(const std::vector<ReplicaSet>& sets,
                               std::vector<StorageMember>& members) {
  std::vector<std::size_t> missing;  // Of each set.
  missing.reserve(sets.size());
  for (const auto& it : sets) {
    missing.push_back(it.quorum);
  }
  std::vector<StorageMember> first;
  std::vector<StorageMember> others;
  for (auto& member : members) {
    bool needed = false;
    for (std::size_t n = 0; n < sets.size(); ++n) {
      const auto& disks = sets[n].disks;
      if (missing[n] > 0 &&
          std::find(disks.begin(), disks.end(), member.disk) != disks.end()) {
        --missing[n];
        needed = true;
      }
    }
    (needed ? first : others).push_back(std::move(member));
  }
  const auto count = first.size();
  first.insert(first.end(), std::make_move_iterator(others.begin()),
               std::make_move_iterator(others.end()));
  members = std::move(first);
  return count;
}

bool HasQuorums(const std::vector<ReplicaSet>& sets,
                const StorageReplies& replies) {
  return !sets.empty() &&
         std::all_of(sets.begin(), sets.end(), [&replies](const auto& set) {
           return CountDone(replies, set.disks) >= set.quorum;
         });
}

std::size_t CountAbsentReplies(const std::vector<StorageMember>& members,
                               const StorageReplies& replies) {
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), [&replies](const auto& m) {
        const auto it = replies.find(m.disk);
        return it != replies.end() && it->second.whole &&
               it->second.status == StorageStatus::kDone &&
               it->second.turns.empty();
      }));
}

}  // namespace comfreyfold
