#include <boost/test/unit_test.hpp>

#include "core/room_limits.h"

namespace comfreyfold {
namespace {

constexpr std::int64_t kMemory = 96000;

BOOST_AUTO_TEST_SUITE(room_limits)

constexpr std::int64_t kDisk = 96000;

DiskUse UseOfMemory(std::int64_t bytes) {
  DiskUse out;
  out.memory_bytes = bytes;
  return out;
}

DiskUse UseOfLog(std::int64_t bytes) {
  DiskUse out;
  out.log_bytes = bytes;
  return out;
}

BOOST_AUTO_TEST_CASE(turns_that_have_run_have_room_when_new_ones_have_none) {
  const RoomLimits limits(0, kDisk);
  BOOST_TEST((limits.RoomWith({31999, 0, 0}) == DiskRoom::kNewChains));
  BOOST_TEST((limits.RoomWith({32000, 0, 0}) == DiskRoom::kEndedTurns));
  BOOST_TEST((limits.RoomWith({47999, 0, 0}) == DiskRoom::kEndedTurns));
  BOOST_TEST((limits.RoomWith({48000, 0, 0}) == DiskRoom::kNothing));
}

BOOST_AUTO_TEST_CASE(memory_that_cannot_be_freed_is_limited_like_the_disk) {
  const RoomLimits limits(kMemory, 0);
  BOOST_TEST((limits.RoomWith(UseOfMemory(31999)) == DiskRoom::kNewChains));
  BOOST_TEST((limits.RoomWith(UseOfMemory(32000)) == DiskRoom::kEndedTurns));
  BOOST_TEST((limits.RoomWith(UseOfMemory(48000)) == DiskRoom::kNothing));
  // Contents that the disk holds are not in memory.
  BOOST_TEST((limits.RoomWith({48000, 0, 0}) == DiskRoom::kNewChains));
}

BOOST_AUTO_TEST_CASE(smaller_of_memory_and_disk_counts) {
  BOOST_TEST(RoomLimits(kMemory, 3000).new_turn_bytes() == 1000);
  BOOST_TEST(RoomLimits(kMemory, 3000).ended_turn_bytes() == 1500);
  BOOST_TEST(RoomLimits(0, kDisk).new_turn_bytes() == 32000);
  BOOST_TEST(RoomLimits(3000, kDisk).content_bytes() == 1000);
  const RoomLimits little_disk(kMemory, 3000);
  BOOST_TEST(
      (little_disk.RoomWith({1000, 0, 0, 1000, 0}) == DiskRoom::kEndedTurns));
  BOOST_TEST(
      (little_disk.RoomWith({1500, 0, 0, 1500, 0}) == DiskRoom::kNothing));
  const RoomLimits little_memory(3000, kDisk);
  BOOST_TEST(
      (little_memory.RoomWith({1000, 0, 0, 1000, 0}) == DiskRoom::kEndedTurns));
  BOOST_TEST(
      (little_memory.RoomWith({1500, 0, 0, 1500, 0}) == DiskRoom::kNothing));
}

BOOST_AUTO_TEST_CASE(records_that_are_no_longer_needed_use_the_disk_too) {
  const RoomLimits limits(0, kDisk);
  BOOST_TEST((limits.RoomWith(UseOfLog(59999)) == DiskRoom::kNewChains));
  BOOST_TEST((limits.RoomWith(UseOfLog(60000)) == DiskRoom::kEndedTurns));
  BOOST_TEST((limits.RoomWith(UseOfLog(72000)) == DiskRoom::kNothing));
}

// Two disks could not hold what three held.
BOOST_AUTO_TEST_CASE(new_chains_leave_room_for_the_loss_of_a_disk) {
  RoomLimits limits(0, kDisk);
  limits.SetDisks(3, 1);
  BOOST_TEST((limits.RoomWith({21332, 0, 0}) == DiskRoom::kNewChains));
  BOOST_TEST((limits.RoomWith({21334, 0, 0}) == DiskRoom::kNewTurns));
  BOOST_TEST((limits.RoomWith({32000, 0, 0}) == DiskRoom::kEndedTurns));
  // With the loss, each of two has all turns.
  limits.SetDisks(2, 1);
  BOOST_TEST(limits.new_chain_bytes() == limits.new_turn_bytes());
  limits.SetDisks(9, 2);
  BOOST_TEST(limits.new_chain_bytes() == 32000 * 7 / 9);
  for (const auto disks : {0, 1}) {
    limits.SetDisks(static_cast<std::size_t>(disks), 1);
    BOOST_TEST(limits.new_chain_bytes() == limits.new_turn_bytes());
  }
}

BOOST_AUTO_TEST_CASE(turns_have_to_expire_by_as_much_as_exceeds_a_limit) {
  RoomLimits limits(kMemory, kDisk);
  limits.SetDisks(3, 1);
  const DiskUse use{30000, 0, 0, 0, 0};
  BOOST_TEST(limits.ExcessFor(DiskRoom::kNewTurns, use) == 0);
  BOOST_TEST(limits.ExcessFor(DiskRoom::kNewChains, use) >= 30000 - 21334);
  BOOST_TEST(limits.ExcessFor(DiskRoom::kNewChains, use) <= 30000 - 21332);
  // Half of the memory is too much, so are half of the turns.
  BOOST_TEST(limits.ExcessFor(DiskRoom::kNewTurns, {1000, 0, 0, 64000, 0}) ==
             500);
}

BOOST_AUTO_TEST_CASE(entries_that_wait_for_a_stalled_disk_keep_new_turns_away) {
  const RoomLimits limits(kMemory, 0);
  BOOST_TEST((limits.RoomWith({0, 6000, 1}) == DiskRoom::kEndedTurns));
  BOOST_TEST((limits.RoomWith({0, 12000, 1}) == DiskRoom::kNothing));
  BOOST_TEST((limits.RoomWith({0, 0, 4096}) == DiskRoom::kEndedTurns));
  BOOST_TEST((limits.RoomWith({0, 0, 8192}) == DiskRoom::kNothing));
}

BOOST_AUTO_TEST_CASE(sizes_of_0_are_no_limit) {
  BOOST_TEST((RoomLimits(0, 0).RoomWith({1LL << 40, 1LL << 40, 1, 1LL << 40,
                                         1LL << 40}) == DiskRoom::kNewChains));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
