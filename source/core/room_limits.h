#ifndef CORE_ROOM_LIMITS_H_
#define CORE_ROOM_LIMITS_H_

#include <cstddef>
#include <cstdint>

namespace comfreyfold {

// What a disk has room for, most first.
enum class DiskRoom {
  kNewChains,   // Turns that begin chains, and all else.
  kNewTurns,    // Turns of known chains, and all that follows.
  kEndedTurns,  // Turns that have run, and uses of tokens.
  kNothing,
};

// What the records of a disk use.
struct DiskUse {
  std::int64_t turn_bytes = 0;
  // Of the entries that wait to be written.
  std::int64_t waiting_bytes = 0;
  std::size_t waiting_entries = 0;
  // Memory of the turns that cannot be freed by leaving them to the disk.
  std::int64_t memory_bytes = 0;
  std::int64_t log_bytes = 0;  // With records that are no longer needed.
};

// Decides what a disk has room for. A turn that is yet to run can be refused,
// one that has run can't, so that room is kept for those under way. New chains
// leave room for what the disk takes over when as many others are lost as is
// tolerated.
class RoomLimits {
 public:
  // Memory of the VM and size of the disk; 0: no limit.
  RoomLimits(std::int64_t memory_bytes, std::int64_t disk_bytes)
      : memory_bytes_(memory_bytes), disk_bytes_(disk_bytes) {}

  // Takes over that the turns are on `disks` disks, `tolerated_losses` of which
  // may be lost. No room is kept for that before the first call.
  void SetDisks(std::size_t disks, std::size_t tolerated_losses);

  DiskRoom RoomWith(const DiskUse& use) const;

  // Returns the bytes of turns that have to expire until `use` leaves room for
  // `room`; 0 if there is room, or something else than turns takes it.
  std::int64_t ExcessFor(DiskRoom room, const DiskUse& use) const;

  // Bytes of turns from which on new chains, turns that are yet to run, and
  // those that have run, are refused; 0: no limit.
  std::int64_t new_chain_bytes() const;
  std::int64_t new_turn_bytes() const;
  std::int64_t ended_turn_bytes() const;

  // Size of the log from which on segments that are mostly unused are freed; 0:
  // no limit.
  std::int64_t compaction_bytes() const;

  // Memory that turns may use with their contents; 0: no limit.
  std::int64_t content_bytes() const;

 private:
  struct Limits {
    std::int64_t turn_bytes = 0;
    std::int64_t memory_bytes = 0;
    std::int64_t log_bytes = 0;
  };
  Limits LimitsFor(DiskRoom room) const;
  // The part of `limit` that leaves room for tolerated losses.
  std::int64_t WithoutReserve(std::int64_t limit) const;

  std::int64_t memory_bytes_;
  std::int64_t disk_bytes_;
  std::int64_t share_ = 1;  // Of `whole_` that new chains may use.
  std::int64_t whole_ = 1;
};

}  // namespace comfreyfold

#endif  // CORE_ROOM_LIMITS_H_
