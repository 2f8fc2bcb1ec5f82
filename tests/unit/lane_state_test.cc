#include "core/lane_state.h"

#include <boost/test/unit_test.hpp>

namespace comfreyfold {
namespace {

LaneEntry Entry(EntryKind kind, const std::string& key) {
  LaneEntry out;
  out.kind = kind;
  out.customer = "c";
  out.program = "p";
  out.key = key;
  out.call = 1;
  out.request_digest = 7;
  return out;
}

LaneBlock Block(std::int64_t number,
                std::int64_t epoch,
                std::vector<LaneEntry> entries) {
  return {number, "uid-" + std::to_string(number), epoch, "d0",
          std::move(entries)};
}

LaneEntry Takeover() {
  LaneEntry out;
  out.kind = EntryKind::kTakeover;
  return out;
}

CallClaim Claim(const std::string& key) {
  return {{"c", "p"}, key, 0, 7};
}

BOOST_AUTO_TEST_SUITE(lane_state)

BOOST_AUTO_TEST_CASE(a_call_begun_in_an_earlier_epoch_is_not_repeated) {
  LaneState state;
  state.Apply(Block(1, 1, {Takeover(), Entry(EntryKind::kCallBegun, "k")}));
  BOOST_TEST((state.Admit(Claim("k")).result == AdmitResult::kInFlight));
  state.Apply(Block(2, 2, {Takeover()}));
  BOOST_TEST((state.Admit(Claim("k")).result == AdmitResult::kMayHaveRun));
}

BOOST_AUTO_TEST_CASE(an_idempotent_call_may_be_repeated) {
  LaneState state;
  auto begun = Entry(EntryKind::kCallBegun, "k");
  begun.idempotent = true;
  state.Apply(Block(1, 1, {Takeover(), begun}));
  state.Apply(Block(2, 2, {Takeover()}));
  BOOST_TEST((state.Admit(Claim("k")).result == AdmitResult::kMayRepeat));
}

BOOST_AUTO_TEST_CASE(a_finished_call_is_answered_from_the_record) {
  LaneState state;
  auto done = Entry(EntryKind::kCallDone, "k");
  done.verdict = Verdict::kRan;
  done.answer = "booked";
  state.Apply(
      Block(1, 1, {Takeover(), Entry(EntryKind::kCallBegun, "k"), done}));
  const auto admission = state.Admit(Claim("k"));
  BOOST_TEST((admission.result == AdmitResult::kAnswered));
  BOOST_TEST(admission.record->answer == "booked");
  auto other = Claim("k");
  other.request_digest = 8;
  BOOST_TEST((state.Admit(other).result == AdmitResult::kKeyReused));
}

BOOST_AUTO_TEST_CASE(blocks_out_of_sequence_are_refused) {
  LaneState state;
  BOOST_CHECK_THROW(state.Apply(Block(2, 1, {Takeover()})), LaneCorrupt);
  state.Apply(Block(1, 2, {Takeover()}));
  BOOST_CHECK_THROW(state.Apply(Block(2, 1, {})), LaneCorrupt);
  BOOST_CHECK_THROW(state.Apply(Block(2, 3, {})), LaneCorrupt);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
