// The part of StorageClient that heeds the room of disks.

#include <algorithm>
#include <utility>

#include "storage/storage_client.h"

namespace comfreyfold {

namespace {

constexpr std::chrono::milliseconds kAskTimeout{1000};
// A disk that fails may have room, and be back within a moment.
constexpr std::chrono::milliseconds kFailingRetryTime{1000};

}  // namespace

bool StorageClient::HasAllDisks() const {
  const auto& list = view_.storage_list();
  return !list.changing() &&
         std::none_of(
             list.members.begin(), list.members.end(),
             [this](const auto& it) { return replicas_.IsFailing(it); });
}

// A turn that begins a chain leaves room for the loss of disks, unless one is
// lost.
DiskRoom StorageClient::RoomWanted(bool begins_chain) const {
  return begins_chain && HasAllDisks() ? DiskRoom::kNewChains
                                       : DiskRoom::kNewTurns;
}

// The room of a dead disk is of no use to a turn.
std::chrono::milliseconds StorageClient::RoomForTurnIn(
    bool begins_chain) const {
  const auto wanted = RoomWanted(begins_chain);
  std::vector<std::string> all;
  std::vector<std::string> alive;
  for (const auto& it : view_.storage_list().Writable()) {
    all.push_back(it.disk);
    if (!replicas_.IsFailing(it)) {
      alive.push_back(it.disk);
    }
  }
  const auto copies = static_cast<std::size_t>(tolerated_losses_) + 1;
  const auto now = std::chrono::steady_clock::now();
  const auto room_in = known_room_.RoomIn(alive, copies, now, wanted);
  const auto with_failing = known_room_.RoomIn(all, copies, now, wanted);
  return room_in <= with_failing
             ? room_in
             : std::min(room_in, std::max(with_failing, kFailingRetryTime));
}

bool StorageClient::HasDiskWithoutRoom() const {
  const auto members = view_.storage_list().Writable();
  return std::any_of(members.begin(), members.end(), [this](const auto& it) {
    return known_room_.Of(it.disk, std::chrono::steady_clock::now()) ==
           DiskRoom::kNothing;
  });
}

// While turns are refused for want of room, nothing else may ask the disks.
void StorageClient::AskFullDisks() {
  for (const auto& disk :
       known_room_.TakeDue(std::chrono::steady_clock::now())) {
    const auto* member = view_.storage_list().Find(disk);
    if (member == nullptr) {
      continue;
    }
    loop_.Spawn([this, target = *member](Fiber& child) {
      StorageRequest question;
      question.operation = StorageOperation::kAdopt;
      StorageReply ignored;
      replicas_.CallOne(child, target, question, kAskTimeout, ignored);
    });
  }
}

std::vector<StorageMember> StorageClient::SortByRoom(
    std::vector<StorageMember> members,
    DiskRoom wanted) const {
  const auto now = std::chrono::steady_clock::now();
  const auto room = [this, now](const StorageMember& it) {
    return known_room_.Of(it.disk, now);
  };
  std::erase_if(members, [&room](const auto& it) {
    return room(it) == DiskRoom::kNothing;
  });
  const auto rank = [this, &room, wanted](const StorageMember& it) {
    return std::pair(replicas_.IsFailing(it), room(it) > wanted);
  };
  std::stable_sort(
      members.begin(), members.end(),
      [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
  return members;
}

}  // namespace comfreyfold
