#include <boost/test/unit_test.hpp>

#include "core/known_room.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

const TimePoint kNow{milliseconds(1000000)};
const std::vector<std::string> kDisks{"a", "b", "c"};

BOOST_AUTO_TEST_SUITE(known_room)

BOOST_AUTO_TEST_CASE(disks_of_which_nothing_is_known_have_room) {
  const KnownRoom room;
  BOOST_TEST((room.Of("a", kNow) == DiskRoom::kNewChains));
  BOOST_TEST(room.RoomIn(kDisks, 2, kNow).count() == 0);
  // Not a question of room.
  BOOST_TEST(room.RoomIn({"a"}, 2, kNow).count() == 0);
}

BOOST_AUTO_TEST_CASE(turn_waits_until_as_many_disks_as_it_needs_have_room) {
  KnownRoom room;
  room.Observe("a", DiskRoom::kEndedTurns, milliseconds(5000), kNow);
  BOOST_TEST(room.RoomIn(kDisks, 2, kNow).count() == 0);
  room.Observe("b", DiskRoom::kNothing, milliseconds(3000), kNow);
  BOOST_TEST(room.RoomIn(kDisks, 2, kNow).count() == 3000);
  BOOST_TEST(room.RoomIn(kDisks, 3, kNow).count() == 5000);
  BOOST_TEST(room.RoomIn(kDisks, 2, kNow + milliseconds(2999)).count() == 1);
  BOOST_TEST(room.RoomIn(kDisks, 2, kNow + milliseconds(3000)).count() == 0);
}

BOOST_AUTO_TEST_CASE(disk_that_reports_room_has_it_at_once) {
  KnownRoom room;
  room.Observe("a", DiskRoom::kNothing, milliseconds(5000), kNow);
  room.Observe("a", DiskRoom::kNewChains, {}, kNow);
  BOOST_TEST((room.Of("a", kNow) == DiskRoom::kNewChains));
}

BOOST_AUTO_TEST_CASE(new_chains_wait_while_turns_of_known_chains_go_on) {
  KnownRoom room;
  for (const auto& it : kDisks) {
    room.Observe(it, DiskRoom::kNewTurns, {}, kNow, milliseconds(3000));
  }
  const auto wait_for = [&room](DiskRoom wanted, milliseconds later) {
    return room.RoomIn(kDisks, 2, kNow + later, wanted).count();
  };
  BOOST_TEST((room.Of("a", kNow) == DiskRoom::kNewTurns));
  BOOST_TEST(wait_for(DiskRoom::kNewTurns, milliseconds(0)) == 0);
  BOOST_TEST(wait_for(DiskRoom::kNewChains, milliseconds(0)) == 3000);
  BOOST_TEST(wait_for(DiskRoom::kNewChains, milliseconds(3000)) == 0);
  // A full disk has room for known chains first.
  room.Observe("a", DiskRoom::kEndedTurns, milliseconds(1000), kNow,
               milliseconds(4000));
  BOOST_TEST((room.Of("a", kNow) == DiskRoom::kEndedTurns));
  BOOST_TEST((room.Of("a", kNow + milliseconds(1000)) == DiskRoom::kNewTurns));
  BOOST_TEST((room.Of("a", kNow + milliseconds(4000)) == DiskRoom::kNewChains));
}

BOOST_AUTO_TEST_CASE(disk_without_room_for_ended_turns_is_tried_again_soon) {
  KnownRoom room;
  room.Observe("a", DiskRoom::kNothing, milliseconds(60000), kNow);
  BOOST_TEST((room.Of("a", kNow + milliseconds(999)) == DiskRoom::kNothing));
  BOOST_TEST(
      (room.Of("a", kNow + milliseconds(1000)) == DiskRoom::kEndedTurns));
}

BOOST_AUTO_TEST_CASE(full_disks_are_asked_at_intervals_and_not_by_each_turn) {
  KnownRoom room;
  room.Observe("a", DiskRoom::kEndedTurns, milliseconds(60000), kNow);
  room.Observe("b", DiskRoom::kNothing, milliseconds(60000), kNow);
  BOOST_TEST(room.TakeDue(kNow + milliseconds(499)).empty());
  BOOST_TEST(room.TakeDue(kNow + milliseconds(500)) ==
             std::vector<std::string>{"b"});
  BOOST_TEST(room.TakeDue(kNow + milliseconds(501)).empty());
  BOOST_TEST(room.TakeDue(kNow + milliseconds(2000)).size() == 2U);
  BOOST_TEST(room.TakeDue(kNow + milliseconds(60000)).empty());
}

// Entries that wait for a stalled disk have no time of expiry.
BOOST_AUTO_TEST_CASE(unknown_time_until_room_is_short) {
  KnownRoom room;
  room.Observe("a", DiskRoom::kEndedTurns, {}, kNow);
  BOOST_TEST(room.RoomIn({"a"}, 1, kNow).count() > 0);
  BOOST_TEST(room.RoomIn({"a"}, 1, kNow + milliseconds(1000)).count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
