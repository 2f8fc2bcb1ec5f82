#include "core/room_limits.h"

#include <algorithm>
#include <array>
#include <utility>

namespace comfreyfold {

namespace {

// Turns may use the memory and the disk divided by these numbers. The rest of
// the memory is for buffers and the process itself, the rest of the disk for
// segments of the log, which are removed late.
constexpr std::int64_t kNewTurnsDivisor = 3;
constexpr std::int64_t kEndedTurnsDivisor = 2;
// The log may use these eighths of the disk.
constexpr std::int64_t kLogDivisor = 8;
constexpr std::int64_t kNewTurnsLogShare = 5;
constexpr std::int64_t kEndedTurnsLogShare = 6;
constexpr std::int64_t kCompactionLogShare = 4;
// Entries that wait for a stalled disk, whose bytes may use the memory divided
// by these numbers.
constexpr std::size_t kNewTurnsEntries = 4096;
constexpr std::size_t kEndedTurnsEntries = 2 * kNewTurnsEntries;
constexpr std::int64_t kNewTurnsWaitingDivisor = 16;
constexpr std::int64_t kEndedTurnsWaitingDivisor = 8;

bool IsBelow(std::int64_t bytes, std::int64_t limit) {
  return limit == 0 || bytes < limit;
}

}  // namespace

// A turn is on one disk more than may be lost, as long as there are so many.
// When disks are lost, the others take over what they had.
void RoomLimits::SetDisks(std::size_t disks, std::size_t tolerated_losses) {
  const auto left = disks - std::min(disks, tolerated_losses);
  if (left == 0) {
    share_ = whole_ = 1;
    return;
  }
  const auto copies = tolerated_losses + 1;
  share_ = static_cast<std::int64_t>(std::min(disks, copies) * left);
  whole_ = static_cast<std::int64_t>(std::min(left, copies) * disks);
}

std::int64_t RoomLimits::WithoutReserve(std::int64_t limit) const {
  return limit * share_ / whole_;
}

std::int64_t RoomLimits::new_chain_bytes() const {
  return WithoutReserve(new_turn_bytes());
}

std::int64_t RoomLimits::new_turn_bytes() const {
  return disk_bytes_ / kNewTurnsDivisor;
}

std::int64_t RoomLimits::ended_turn_bytes() const {
  return disk_bytes_ / kEndedTurnsDivisor;
}

std::int64_t RoomLimits::content_bytes() const {
  return memory_bytes_ / kNewTurnsDivisor;
}

std::int64_t RoomLimits::compaction_bytes() const {
  return disk_bytes_ / kLogDivisor * kCompactionLogShare;
}

RoomLimits::Limits RoomLimits::LimitsFor(DiskRoom room) const {
  const auto memory = memory_bytes_ / kNewTurnsDivisor;
  const auto log = disk_bytes_ / kLogDivisor * kNewTurnsLogShare;
  switch (room) {
    case DiskRoom::kNewChains:
      return {new_chain_bytes(), WithoutReserve(memory), log};
    case DiskRoom::kNewTurns:
      return {new_turn_bytes(), memory, log};
    default:
      return {ended_turn_bytes(), memory_bytes_ / kEndedTurnsDivisor,
              disk_bytes_ / kLogDivisor * kEndedTurnsLogShare};
  }
}

DiskRoom RoomLimits::RoomWith(const DiskUse& use) const {
  const auto fits = [this, &use](DiskRoom room, std::size_t entries,
                                 std::int64_t waiting_divisor) {
    const auto limits = LimitsFor(room);
    return use.waiting_entries < entries &&
           IsBelow(use.waiting_bytes, memory_bytes_ / waiting_divisor) &&
           IsBelow(use.turn_bytes, limits.turn_bytes) &&
           IsBelow(use.memory_bytes, limits.memory_bytes) &&
           IsBelow(use.log_bytes, limits.log_bytes);
  };
  for (const auto room : {DiskRoom::kNewChains, DiskRoom::kNewTurns}) {
    if (fits(room, kNewTurnsEntries, kNewTurnsWaitingDivisor)) {
      return room;
    }
  }
  return fits(DiskRoom::kEndedTurns, kEndedTurnsEntries,
              kEndedTurnsWaitingDivisor)
             ? DiskRoom::kEndedTurns
             : DiskRoom::kNothing;
}

// Memory and the log are used about as the bytes of turns are.
std::int64_t RoomLimits::ExcessFor(DiskRoom room, const DiskUse& use) const {
  const auto limits = LimitsFor(room);
  const std::array<std::pair<std::int64_t, std::int64_t>, 3> uses{
      {{use.turn_bytes, limits.turn_bytes},
       {use.memory_bytes, limits.memory_bytes},
       {use.log_bytes, limits.log_bytes}}};
  double excess = 0;
  for (const auto& [used, limit] : uses) {
    if (!IsBelow(used, limit)) {
      excess = std::max(excess, static_cast<double>(used - limit + 1) /
                                    static_cast<double>(used));
    }
  }
  return static_cast<std::int64_t>(excess *
                                   static_cast<double>(use.turn_bytes));
}

}  // namespace comfreyfold
