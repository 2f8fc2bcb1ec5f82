#ifndef CORE_KNOWN_ROOM_H_
#define CORE_KNOWN_ROOM_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/room_limits.h"
#include "core/time_point.h"

namespace comfreyfold {

// The room of all disks, as far as one daemon knows it from their replies. A
// disk of which nothing is known counts as having room.
class KnownRoom {
 public:
  // Takes over what a disk has reported. `room_in` and `new_chains_in` are the
  // times until it has room for new turns and for new chains again; 0 if it
  // has, or does not know.
  void Observe(const std::string& disk,
               DiskRoom room,
               std::chrono::milliseconds room_in,
               TimePoint now,
               std::chrono::milliseconds new_chains_in = {});

  DiskRoom Of(const std::string& disk, TimePoint now) const;

  // Returns the time until `needed` of `disks` have the room `wanted`, either
  // kNewTurns or kNewChains; 0 if they have, or there are fewer disks.
  std::chrono::milliseconds RoomIn(const std::vector<std::string>& disks,
                                   std::size_t needed,
                                   TimePoint now,
                                   DiskRoom wanted = DiskRoom::kNewTurns) const;

  // Returns the disks without room that have reported nothing for some time.
  // They count as asked then.
  std::vector<std::string> TakeDue(TimePoint now);

 private:
  struct Report {
    DiskRoom room = DiskRoom::kEndedTurns;
    // When room for new turns and new chains is expected.
    TimePoint new_turns_at{};
    TimePoint new_chains_at{};
    TimePoint reported_at{};
    TimePoint asked_at{};
  };

  std::map<std::string, Report> reports_;  // Of disks without room.
};

}  // namespace comfreyfold

#endif  // CORE_KNOWN_ROOM_H_
