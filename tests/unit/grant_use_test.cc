#include "core/grant_use.h"

#include <boost/test/unit_test.hpp>

#include "core/lane_state.h"
#include "wire/codec.h"

namespace comfreyfold {
namespace {

LaneEntry Entry(EntryKind kind, std::int64_t tokens = 0) {
  LaneEntry out;
  out.kind = kind;
  out.customer = "c";
  out.program = "p";
  out.key = "k";
  out.call = 1;
  out.idempotent = true;
  out.tokens = tokens;
  out.grant = "run-1";
  return out;
}

LaneBlock Block(std::int64_t number, std::vector<LaneEntry> entries) {
  return {number, "uid", 1, "d0", std::move(entries)};
}

BOOST_AUTO_TEST_SUITE(grant_use)

BOOST_AUTO_TEST_CASE(every_entry_kind_survives_encoding) {
  for (const auto kind :
       {EntryKind::kTakeover, EntryKind::kCallBegun, EntryKind::kCallDone,
        EntryKind::kProgramEnded, EntryKind::kHoldReleased,
        EntryKind::kHandover, EntryKind::kSubagentStarted, EntryKind::kSealed,
        EntryKind::kProgramForgotten}) {
    const auto block = Block(7, {Entry(kind, 5)});
    BOOST_TEST((DecodeLaneBlock(Encode(block)) == block));
  }
}

BOOST_AUTO_TEST_CASE(a_lane_counts_reserved_tokens_until_the_call_is_done) {
  LaneState state;
  state.Apply(Block(1, {Entry(EntryKind::kTakeover)}));
  BOOST_TEST(state.GrantTokens({"c", "run-1"}) == 0);
  state.Apply(Block(2, {Entry(EntryKind::kCallBegun, 100)}));
  BOOST_TEST(state.GrantTokens({"c", "run-1"}) == 100);
  state.Apply(Block(3, {Entry(EntryKind::kCallDone, 30)}));
  BOOST_TEST(state.GrantTokens({"c", "run-1"}) == 30);
  BOOST_TEST(state.GrantTokens({"c", "run-2"}) == 0);
}

BOOST_AUTO_TEST_CASE(a_repeated_call_leaves_the_first_reservation_counted) {
  LaneState state;
  state.Apply(Block(
      1, {Entry(EntryKind::kTakeover), Entry(EntryKind::kCallBegun, 100)}));
  auto again = Entry(EntryKind::kCallBegun, 80);
  again.grant = "run-2";
  auto done = Entry(EntryKind::kCallDone, 20);
  done.grant = "run-2";
  auto block = Block(2, {Entry(EntryKind::kTakeover), again, done});
  block.epoch = 2;
  state.Apply(block);
  BOOST_TEST(state.GrantTokens({"c", "run-1"}) == 100);
  BOOST_TEST(state.GrantTokens({"c", "run-2"}) == 20);
}

BOOST_AUTO_TEST_CASE(a_tally_is_complete_once_every_lane_has_answered) {
  const GrantName name{"c", "run-1"};
  GrantTally tally;
  tally.Add({{0, 1}, {{0, name, 5}}});
  BOOST_TEST(!tally.Complete(3));
  // Lane 1 changed its owner, and the later owner reports a larger use.
  tally.Add({{1, 2}, {{1, name, 7}}});
  BOOST_TEST(tally.Complete(3));
  BOOST_TEST(tally.Total(name) == 12);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
