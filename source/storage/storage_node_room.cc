// The part of StorageNode that tells the room of its disk.

#include <algorithm>

#include "core/wall_clock.h"
#include "storage/storage_node.h"

namespace comfreyfold {

namespace {

// A full disk has room again once expired turns have made room for some further
// ones: this part of the limit. How long that takes is computed anew after
// kRoomEstimateTime, since it takes a look at many turns.
constexpr std::int64_t kRoomMarginDivisor = 32;
constexpr std::chrono::milliseconds kRoomEstimateTime{500};

}  // namespace

DiskUse StorageNode::Use() const {
  return {static_cast<std::int64_t>(turns_.bytes()),
          static_cast<std::int64_t>(disk_log_.backlog_bytes()),
          disk_log_.backlog(), static_cast<std::int64_t>(turns_.pinned_bytes()),
          disk_log_.size_bytes()};
}

DiskRoom StorageNode::Room() {
  room_limits_.SetDisks(view_.storage_list().Writable().size(),
                        static_cast<std::size_t>(tolerated_losses_));
  const auto room = room_limits_.RoomWith(Use());
  if (room == DiskRoom::kNewChains) {
    return room;
  }
  turns_.Expire(WallNow());
  return room_limits_.RoomWith(Use());
}

// Turns that are yet to run are refused by the daemons that serve clients. All
// that is stored here belongs to turns that have run, or is small: uses of
// tokens need no room among the turns.
bool StorageNode::Takes(const StorageRequest& request) {
  auto use = Use();
  if (request.turns.empty()) {
    use.turn_bytes = 0;
    use.memory_bytes = 0;
    return room_limits_.RoomWith(use) != DiskRoom::kNothing;
  }
  return Room() != DiskRoom::kNothing;
}

std::chrono::milliseconds StorageNode::RoomIn(DiskRoom room) {
  const auto use = Use();
  const auto excess = room_limits_.ExcessFor(room, use);
  if (excess == 0) {
    return {};
  }
  const auto now = WallNow();
  auto& [room_at, estimated_at] = room_estimates_[room];
  if (now - estimated_at >= kRoomEstimateTime) {
    estimated_at = now;
    room_at = turns_.ExpiryOf(
        static_cast<std::size_t>(excess + use.turn_bytes / kRoomMarginDivisor));
  }
  return std::max(room_at - now, std::chrono::milliseconds(1));
}

void StorageNode::ReportRoom(StorageReply& reply) {
  const auto room = Room();
  reply.full = room > DiskRoom::kNewTurns;
  reply.overfull = room == DiskRoom::kNothing;
  if (reply.full) {
    reply.room_in = RoomIn(DiskRoom::kNewTurns);
  }
  if (room > DiskRoom::kNewChains) {
    reply.new_chains_in =
        std::max(RoomIn(DiskRoom::kNewChains), std::chrono::milliseconds(1));
  }
}

}  // namespace comfreyfold
