#include "core/storage_change_planner.h"

#include <algorithm>
#include <iterator>

namespace comfreyfold {

namespace {

bool MayGetDone(DiskHealth health) {
  return health == DiskHealth::kAnswers || health == DiskHealth::kSilent;
}

bool Contains(const std::vector<StorageMember>& members,
              const std::string& disk) {
  return std::any_of(members.begin(), members.end(),
                     [&disk](const auto& it) { return it.disk == disk; });
}

void AddMissing(const std::vector<StorageMember>& added,
                std::vector<StorageMember>& members) {
  std::copy_if(
      added.begin(), added.end(), std::back_inserter(members),
      [&members](const auto& it) { return !Contains(members, it.disk); });
}

}  // namespace

DiskHealth StorageChangePlanner::HealthOf(const DiskHealths& health,
                                          const std::string& disk) {
  const auto it = health.find(disk);
  return it == health.end() ? DiskHealth::kSilent : it->second;
}

std::vector<StorageMember> StorageChangePlanner::Awaited(
    const std::vector<StorageMember>& members,
    const DiskHealths& health) {
  std::vector<StorageMember> out;
  std::copy_if(members.begin(), members.end(), std::back_inserter(out),
               [&health](const auto& it) {
                 return HealthOf(health, it.disk) != DiskHealth::kAnswers;
               });
  return out;
}

std::optional<std::vector<std::string>> StorageChangePlanner::Removable(
    const std::vector<StorageMember>& members,
    const DiskHealths& health,
    const std::function<bool(DiskHealth)>& leaves) const {
  std::vector<std::string> out;
  bool all_lost = true;
  for (const auto& it : members) {
    const auto found = HealthOf(health, it.disk);
    if (leaves(found)) {
      out.push_back(it.disk);
      all_lost = all_lost && found == DiskHealth::kLost;
    } else if (found != DiskHealth::kAnswers) {
      return std::nullopt;
    }
  }
  if (out.size() > losses_ && !all_lost) {
    return std::nullopt;
  }
  return out;
}

std::optional<StorageList> StorageChangePlanner::Join(
    const StorageList& list,
    const DiskHealths& health,
    const std::vector<StorageMember>& joining) const {
  const auto dead = Removable(list.members, health,
                              [](DiskHealth it) { return !MayGetDone(it); });
  if (!dead) {
    return std::nullopt;
  }
  return list.WithChange(joining, *dead);
}

std::optional<StorageList> StorageChangePlanner::Remove(
    const StorageList& list,
    const DiskHealths& health,
    const std::vector<StorageMember>& joining) const {
  const auto gone = Removable(list.members, health, [](DiskHealth it) {
    return it == DiskHealth::kGone || it == DiskHealth::kLost;
  });
  if (!gone || gone->empty()) {
    return std::nullopt;
  }
  auto out = list.WithChange(joining, *gone);
  if (!IsEnough(out.next)) {
    return std::nullopt;
  }
  return out;
}

std::optional<StorageList> StorageChangePlanner::Leave(
    const StorageList& list,
    const DiskHealths& health,
    const std::string& disk) const {
  auto removed = Removable(list.members, health,
                           [](DiskHealth it) { return !MayGetDone(it); });
  if (!removed) {
    return std::nullopt;
  }
  removed->push_back(disk);
  auto out = list.WithChange({}, *removed);
  if (!IsEnough(out.next)) {
    return std::nullopt;
  }
  return out;
}

bool StorageChangePlanner::NeedsRestart(const StorageList& list,
                                        const DiskHealths& health) {
  return std::any_of(list.next.begin(), list.next.end(),
                     [&health](const auto& it) {
                       return !MayGetDone(HealthOf(health, it.disk));
                     });
}

// A disk that joins in place of a lost one is preferred to one that was to
// leave: the change in which that one leaves need not be repeated then.
std::optional<StorageList> StorageChangePlanner::Restart(
    const StorageList& list,
    const DiskHealths& health,
    const std::vector<StorageMember>& joining) const {
  if (!NeedsRestart(list, health)) {
    return std::nullopt;
  }
  std::vector<StorageMember> next;
  std::copy_if(list.next.begin(), list.next.end(), std::back_inserter(next),
               [&health](const auto& it) {
                 return MayGetDone(HealthOf(health, it.disk));
               });
  AddMissing(joining, next);
  if (!IsEnough(next)) {
    std::vector<StorageMember> staying;
    std::copy_if(list.members.begin(), list.members.end(),
                 std::back_inserter(staying), [&health](const auto& it) {
                   return HealthOf(health, it.disk) == DiskHealth::kAnswers;
                 });
    AddMissing(staying, next);
  }
  if (!IsEnough(next)) {
    return std::nullopt;
  }
  return list.RestartedWith(next);
}

}  // namespace comfreyfold
