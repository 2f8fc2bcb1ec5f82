#include <boost/test/unit_test.hpp>

#include "core/turn_index.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

TurnRecord MakeTurn(const std::string& id,
                    const std::string& parent,
                    milliseconds expires_at) {
  return {id, parent, "in-" + id, "out-" + id, expires_at};
}

BOOST_AUTO_TEST_SUITE(turn_index)

BOOST_AUTO_TEST_CASE(a_chain_ends_at_the_first_missing_turn) {
  TurnIndex index;
  index.Put(MakeTurn("c", "b", milliseconds(100)));
  index.Put(MakeTurn("b", "a", milliseconds(100)));
  BOOST_TEST(index.Chain("c").size() == 2U);
  index.Put(MakeTurn("a", "", milliseconds(100)));
  const auto chain = index.Chain("c");
  BOOST_REQUIRE(chain.size() == 3U);
  BOOST_TEST(chain.back()->id == "a");
  BOOST_TEST(index.Chain("x").empty());
}

BOOST_AUTO_TEST_CASE(time_of_room_follows_from_the_earliest_expiries) {
  TurnIndex index;
  BOOST_TEST(index.ExpiryOf(1).count() == 0);
  index.Put(MakeTurn("b", "", milliseconds(200)));
  index.Put(MakeTurn("a", "", milliseconds(100)));
  const auto bytes = index.Find("a")->bytes();
  BOOST_TEST(index.ExpiryOf(bytes).count() == 100);
  BOOST_TEST(index.ExpiryOf(bytes + 1).count() == 200);
  BOOST_TEST(index.ExpiryOf(100 * bytes).count() == 200);
}

BOOST_AUTO_TEST_CASE(extending_the_expiry_keeps_a_chain) {
  TurnIndex index;
  index.Put(MakeTurn("a", "", milliseconds(100)));
  index.Put(MakeTurn("b", "a", milliseconds(200)));
  index.ExtendExpiry({"a", "unknown"}, milliseconds(200));
  index.Expire(milliseconds(150));
  BOOST_TEST(index.Chain("b").size() == 2U);
  index.Expire(milliseconds(201));
  BOOST_TEST(index.size() == 0U);
  BOOST_TEST(index.bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(a_segment_is_used_until_all_its_turns_expire) {
  TurnIndex index;
  index.Put(MakeTurn("a", "", milliseconds(100)), 7);
  index.Put(MakeTurn("b", "", milliseconds(200)), 7);
  index.Expire(milliseconds(150));
  BOOST_TEST(index.UsesSegment(7));
  index.Expire(milliseconds(250));
  BOOST_TEST(!index.UsesSegment(7));
}

BOOST_AUTO_TEST_CASE(a_stored_turn_never_changes) {
  TurnIndex index;
  index.Put(MakeTurn("a", "", milliseconds(100)));
  auto other = MakeTurn("a", "", milliseconds(300));
  other.output = "different";
  BOOST_TEST(!index.Put(other));
  BOOST_TEST(index.Find("a")->output == "out-a");
}

// Reading a chain that leads back to itself ended daemons for want of memory.
BOOST_AUTO_TEST_CASE(a_turn_that_would_be_its_own_ancestor_is_not_added) {
  TurnIndex index;
  index.Put(MakeTurn("alone", "alone", milliseconds(100)));
  BOOST_TEST(index.Chain("alone").empty());
  // In either order.
  index.Put(MakeTurn("a", "b", milliseconds(100)));
  index.Put(MakeTurn("b", "c", milliseconds(100)));
  index.Put(MakeTurn("c", "a", milliseconds(100)));
  BOOST_TEST(index.Chain("a").size() == 2U);
  BOOST_TEST(index.Chain("c").empty());
}

BOOST_AUTO_TEST_CASE(
    contents_that_the_log_holds_leave_memory_first_stored_first) {
  TurnIndex index;
  for (const auto* id : {"a", "b", "c"}) {
    index.Put(MakeTurn(id, "", milliseconds(100)), 1);
  }
  const auto bytes = index.bytes();
  const auto all = index.memory_bytes();
  BOOST_TEST(index.pinned_bytes() == all);
  index.DropContents(1);
  BOOST_TEST(index.memory_bytes() == all);
  index.MarkStored("b", {1, 10, 20});
  index.MarkStored("a", {1, 30, 20});
  index.DropContents(all - 1);
  BOOST_TEST(index.Find("b")->output.empty());
  BOOST_TEST(index.Find("a")->output == "out-a");
  BOOST_REQUIRE(index.PositionOfDropped("b").has_value());
  BOOST_TEST(index.PositionOfDropped("b")->offset == 10);
  BOOST_TEST(!index.PositionOfDropped("a").has_value());
  index.DropContents(1);
  BOOST_TEST(index.Find("c")->output == "out-c");
  BOOST_TEST(index.memory_bytes() == index.pinned_bytes());
  // All turns are still known.
  BOOST_TEST(index.bytes() == bytes);
  BOOST_TEST(index.BytesOf("b") == index.BytesOf("c"));
  index.Expire(milliseconds(101));
  BOOST_TEST(index.bytes() == 0U);
  BOOST_TEST(index.memory_bytes() == 0U);
  BOOST_TEST(index.pinned_bytes() == 0U);
}

// Its strings kept their memory, which exceeded that of the VM.
BOOST_AUTO_TEST_CASE(contents_that_left_memory_use_none) {
  constexpr std::size_t kLength = 5000;
  TurnIndex index;
  index.Put({"a", "", std::string(kLength, 'x'), std::string(kLength, 'y'),
             milliseconds(100)});
  index.MarkStored("a", {1, 0, 20});
  index.DropContents(1);
  BOOST_TEST(index.Find("a")->input.capacity() < kLength);
  BOOST_TEST(index.Find("a")->output.capacity() < kLength);
}

// The segment of the write that failed may have nothing of the turn.
BOOST_AUTO_TEST_CASE(a_turn_uses_the_segment_that_holds_it) {
  TurnIndex index;
  index.Put(MakeTurn("a", "", milliseconds(100)), 7);
  index.MarkStored("a", {8, 0, 20});
  BOOST_TEST(!index.UsesSegment(7));
  BOOST_TEST(index.UsesSegment(8));
  index.MarkStored("a", {9, 0, 20});
  BOOST_TEST(index.UsesSegment(8));
  index.Expire(milliseconds(101));
  BOOST_TEST(!index.UsesSegment(8));
}

BOOST_AUTO_TEST_CASE(a_byte_limit_removes_turns_that_expire_first) {
  TurnIndex index;
  index.Put(MakeTurn("a", "", milliseconds(100)));
  index.Put(MakeTurn("b", "", milliseconds(200)));
  index.Expire(milliseconds(0), index.bytes() - 1);
  BOOST_TEST(index.Find("a") == nullptr);
  BOOST_TEST(index.Find("b") != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
