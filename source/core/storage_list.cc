#include "core/storage_list.h"

#include <algorithm>

#include "core/hash.h"

namespace comfreyfold {

namespace {

bool Contains(const std::vector<StorageMember>& members,
              const std::string& disk) {
  return std::any_of(members.begin(), members.end(),
                     [&disk](const auto& it) { return it.disk == disk; });
}

ReplicaSet ChooseReplicas(const std::vector<StorageMember>& members,
                          std::string_view program,
                          int tolerated_losses) {
  std::vector<std::string> disks;
  disks.reserve(members.size());
  for (const auto& it : members) {
    disks.push_back(it.disk);
  }
  ReplicaSet out;
  out.disks = RendezvousOrder(program, std::move(disks));
  const auto wanted = 2 * static_cast<std::size_t>(tolerated_losses) + 1;
  if (out.disks.size() > wanted) {
    out.disks.resize(wanted);
  }
  // A majority, so that any two quorums share a disk, and more than the
  // tolerated losses, so that a record survives them.
  out.quorum = std::max(out.disks.size() / 2 + 1,
                        static_cast<std::size_t>(tolerated_losses) + 1);
  return out;
}

}  // namespace

std::vector<StorageMember> StorageList::AllMembers() const {
  auto out = members;
  for (const auto& it : next) {
    if (!Contains(out, it.disk)) {
      out.push_back(it);
    }
  }
  return out;
}

const StorageMember* StorageList::Find(const std::string& disk) const {
  for (const auto* set : {&next, &members}) {
    for (const auto& it : *set) {
      if (it.disk == disk) {
        return &it;
      }
    }
  }
  return nullptr;
}

bool StorageList::IsNextMember(const std::string& disk) const {
  return Contains(next, disk);
}

bool StorageList::IsMember(const std::string& disk) const {
  return Contains(members, disk);
}

std::vector<ReplicaSet> StorageList::ReplicasOf(std::string_view program,
                                                int tolerated_losses) const {
  std::vector<ReplicaSet> out;
  out.push_back(ChooseReplicas(members, program, tolerated_losses));
  if (changing()) {
    out.push_back(ChooseReplicas(next, program, tolerated_losses));
  }
  return out;
}

// Only new replicas have to copy, because the other replicas in `next` keep
// their records. Consider a use that a quorum stored. Each of its disks that
// stops being a replica is replaced by one that copies from all members but the
// tolerated losses and therefore gets the use. As many replicas have it as
// before, so every quorum of the next set includes one of them. If the set
// shrinks, no disk takes the place of one that leaves, so all copy from all.
std::vector<std::string> StorageList::NewReplicasOf(
    std::string_view program,
    int tolerated_losses) const {
  if (!changing()) {
    return {};
  }
  const auto before = ChooseReplicas(members, program, tolerated_losses).disks;
  auto out = ChooseReplicas(next, program, tolerated_losses).disks;
  if (out.size() < before.size()) {
    return out;
  }
  std::erase_if(out, [&before](const auto& disk) {
    return std::find(before.begin(), before.end(), disk) != before.end();
  });
  return out;
}

bool StorageList::OnlyAddsMembers() const {
  return std::all_of(members.begin(), members.end(),
                     [this](const auto& it) { return IsNextMember(it.disk); });
}

// Members that are no more than the tolerated losses cannot hold enough copies.
bool StorageList::MayLackCopies(int tolerated_losses) const {
  return !OnlyAddsMembers() || recopies ||
         members.size() <= static_cast<std::size_t>(tolerated_losses);
}

std::size_t StorageList::AnswersToProveAbsence(int tolerated_losses) const {
  return AnswersToProveAbsence(members, tolerated_losses);
}

// Of members that are no more than the tolerated losses, each has all records.
std::size_t StorageList::AnswersToProveAbsence(
    const std::vector<StorageMember>& members,
    int tolerated_losses) {
  const auto n = members.size();
  const auto lost = static_cast<std::size_t>(tolerated_losses);
  return n > lost ? n - lost : std::min<std::size_t>(n, 1);
}

StorageList StorageList::WithChange(
    const std::vector<StorageMember>& added,
    const std::vector<std::string>& removed) const {
  StorageList out;
  out.version = version + 1;
  out.epoch = epoch + 1;
  out.members = members;
  for (const auto& it : members) {
    if (std::find(removed.begin(), removed.end(), it.disk) == removed.end()) {
      out.next.push_back(it);
    }
  }
  for (const auto& it : added) {
    if (!Contains(out.next, it.disk)) {
      out.next.push_back(it);
    }
  }
  if (out.OnlyAddsMembers() && out.next.size() > members.size()) {
    for (const auto& it : members) {
      out.synced.push_back(it.disk);
    }
  }
  return out;
}

StorageList StorageList::RestartedWith(
    const std::vector<StorageMember>& alive) const {
  StorageList out;
  out.version = version + 1;
  out.epoch = epoch + 1;
  out.members = members;
  out.next = alive;
  out.recopies = true;
  return out;
}

StorageList StorageList::WithSynced(const std::string& disk) const {
  auto out = *this;
  ++out.version;
  if (std::find(out.synced.begin(), out.synced.end(), disk) ==
      out.synced.end()) {
    out.synced.push_back(disk);
  }
  if (out.synced.size() == out.next.size()) {
    ++out.epoch;
    out.members = std::move(out.next);
    out.next.clear();
    out.synced.clear();
    out.recopies = false;
  }
  return out;
}

}  // namespace comfreyfold
