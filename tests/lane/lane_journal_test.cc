#include <boost/test/unit_test.hpp>

#include "lane/entries.h"
#include "lane/lane_world.h"
#include "wire/codec.h"

namespace comfreyfold::lane {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSoon{150};

void RunCall(Fiber& fiber,
             LaneOwner& owner,
             const std::string& program,
             const std::string& key) {
  owner.Append(fiber, {Entry(EntryKind::kCallBegun, program, key)}, kPatience);
  owner.Append(fiber, {Ran(program, key, "answer " + key)}, kPatience);
}

BOOST_AUTO_TEST_SUITE(lane_journal)

BOOST_AUTO_TEST_CASE(a_snapshot_stands_for_the_blocks_before_it) {
  InLane({}, [](Fiber& fiber, LaneWorld& world) {
    const auto owner = Take(fiber, world, "a");
    for (int i = 0; i < 8; ++i) {
      RunCall(fiber, *owner, "p" + std::to_string(i % 2),
              "k" + std::to_string(i));
    }
    owner->SaveSnapshot(fiber);
    RunCall(fiber, *owner, "p0", "after");
    auto journal = world.MakeJournal();
    const auto last = owner->snapshot_block();
    BOOST_TEST(!journal.Read(fiber, 1).has_value());
    BOOST_TEST(!journal.Read(fiber, last - 1).has_value());
    BOOST_TEST(journal.Read(fiber, last).has_value());
    const auto replay = journal.Replay(fiber);
    BOOST_TEST(replay.snapshot_block == last);
    BOOST_TEST((replay.state.Snapshot() == world.NaiveState().Snapshot()));
  });
}

BOOST_AUTO_TEST_CASE(an_owner_that_slept_creates_no_trimmed_block_again) {
  InLane({}, [](Fiber& fiber, LaneWorld& world) {
    const auto sleeper = Take(fiber, world, "a");
    const auto owner = Take(fiber, world, "b");
    for (int i = 0; i < 4; ++i) {
      RunCall(fiber, *owner, "p", "k" + std::to_string(i));
    }
    owner->SaveSnapshot(fiber);
    BOOST_CHECK_THROW(RunCall(fiber, *sleeper, "p", "k9"), LaneLost);
    BOOST_TEST(sleeper->lost());
    BOOST_TEST(world.repeated_block() == 0);
  });
}

BOOST_AUTO_TEST_CASE(an_owner_that_slept_brings_no_old_snapshot_back) {
  InLane({}, [](Fiber& fiber, LaneWorld& world) {
    const auto sleeper = Take(fiber, world, "a");
    RunCall(fiber, *sleeper, "p", "k0");
    const auto owner = Take(fiber, world, "b");
    RunCall(fiber, *owner, "p", "k1");
    owner->SaveSnapshot(fiber);
    sleeper->SaveSnapshot(fiber);
    BOOST_TEST(sleeper->lost());
    auto journal = world.MakeJournal();
    BOOST_TEST((journal.Replay(fiber).state.Snapshot() ==
                world.NaiveState().Snapshot()));
  });
}

BOOST_AUTO_TEST_CASE(a_late_snapshot_names_no_deleted_parts) {
  InLane({}, [](Fiber& fiber, LaneWorld& world) {
    const auto owner = Take(fiber, world, "a");
    // The part is put, the step that names it is under way.
    world.SetFates({Fate::kAnswered, Fate::kLate});
    BOOST_CHECK_THROW(owner->SaveSnapshot(fiber), KvUnavailable);
    owner->SaveSnapshot(fiber);
    world.DeliverLate(fiber);
    auto journal = world.MakeJournal();
    BOOST_TEST((journal.Replay(fiber).state.Snapshot() ==
                world.NaiveState().Snapshot()));
  });
}

BOOST_AUTO_TEST_CASE(a_first_block_that_comes_late_is_turned_away) {
  InLane({}, [](Fiber& fiber, LaneWorld& world) {
    const auto slow = world.MakeOwner("a");
    // The two reads of the replay are answered, the takeover is under way.
    world.SetFates({Fate::kAnswered, Fate::kAnswered, Fate::kLate});
    BOOST_CHECK_THROW(slow->Open(fiber), KvUnavailable);
    const auto owner = Take(fiber, world, "b");
    for (int i = 0; i < 2; ++i) {
      RunCall(fiber, *owner, "p", "k" + std::to_string(i));
    }
    owner->SaveSnapshot(fiber);
    world.DeliverLate(fiber);
    BOOST_TEST(world.repeated_block() == 0);
    auto journal = world.MakeJournal();
    BOOST_TEST(!journal.Read(fiber, 1).has_value());
  });
}

BOOST_AUTO_TEST_CASE(a_trim_between_the_reads_of_a_replay_is_no_gap) {
  InLane({}, [](Fiber& fiber, LaneWorld& world) {
    const auto owner = Take(fiber, world, "a");
    for (int i = 0; i < 4; ++i) {
      RunCall(fiber, *owner, "p", "k" + std::to_string(i));
    }
    int requests = 0;
    world.BeforeRequest([&](Fiber& child, const HttpRequest&) {
      // The second read of the replay finds the blocks trimmed.
      if (++requests == 2) {
        owner->SaveSnapshot(child);
      }
    });
    auto journal = world.MakeJournal();
    const auto replay = journal.Replay(fiber);
    BOOST_TEST(replay.snapshot_block == owner->snapshot_block());
    BOOST_TEST((replay.state.Snapshot() == world.NaiveState().Snapshot()));
  });
}

BOOST_AUTO_TEST_CASE(an_intent_given_up_in_doubt_is_recorded_as_not_run) {
  InLane({}, [](Fiber& fiber, LaneWorld& world) {
    const auto owner = Take(fiber, world, "a");
    world.SetOut(true);
    BOOST_CHECK_THROW(
        owner->Append(fiber, {Entry(EntryKind::kCallBegun, "p", "k")}, kSoon),
        AppendTimeout);
    // While its block is in doubt no other intent waits for its time-out.
    const auto start = std::chrono::steady_clock::now();
    BOOST_CHECK_THROW(
        owner->Append(fiber, {Entry(EntryKind::kCallBegun, "q", "k")},
                      kPatience),
        AppendTimeout);
    BOOST_TEST((std::chrono::steady_clock::now() - start < kSoon));
    world.SetOut(false);
    WaitFor(fiber, [&] {
      const auto* program = owner->state().Find({"c", "p"});
      return program != nullptr && program->calls.front().done;
    });
    const auto admission = owner->state().Admit(Claim("p", "k"));
    BOOST_TEST((admission.result == AdmitResult::kMayRepeat));
    BOOST_TEST((admission.record->verdict == Verdict::kNotRun));
    BOOST_TEST(owner->state().Find({"c", "q"}) == nullptr);
  });
}

// A second dispatch of an idempotent call whose first one may have run.
BOOST_AUTO_TEST_CASE(an_intent_given_up_keeps_what_an_earlier_attempt_may_do) {
  InLane({}, [](Fiber& fiber, LaneWorld& world) {
    const auto owner = Take(fiber, world, "a");
    auto again = Entry(EntryKind::kCallBegun, "p", "k");
    again.idempotent = true;
    owner->Append(fiber, {again}, kPatience);
    world.SetOut(true);
    again.verdict = Verdict::kMayHaveRun;
    BOOST_CHECK_THROW(owner->Append(fiber, {again}, kSoon), AppendTimeout);
    const auto* pending = owner->PendingOutcome({"c", "p"});
    BOOST_REQUIRE(pending != nullptr);
    BOOST_TEST((pending->verdict == Verdict::kMayHaveRun));
    world.SetOut(false);
    WaitFor(fiber, [&] {
      return owner->state().Find({"c", "p"})->calls.front().done;
    });
    const auto admission = owner->state().Admit(Claim("p", "k"));
    BOOST_TEST((admission.result == AdmitResult::kMayRepeat));
    BOOST_TEST((admission.record->verdict == Verdict::kMayHaveRun));
  });
}

BOOST_AUTO_TEST_CASE(an_outcome_outlives_the_patience_of_its_caller) {
  InLane({}, [](Fiber& fiber, LaneWorld& world) {
    const auto owner = Take(fiber, world, "a");
    owner->Append(fiber,
                  {Entry(EntryKind::kCallBegun, "p", "k"),
                   Entry(EntryKind::kCallBegun, "q", "k")},
                  kPatience);
    world.SetOut(true);
    BOOST_CHECK_THROW(owner->Append(fiber, {Ran("p", "k", "one")}, kSoon),
                      AppendTimeout);
    // This one waits in the queue behind the block in doubt.
    BOOST_CHECK_THROW(owner->Append(fiber, {Ran("q", "k", "two")}, kSoon),
                      AppendTimeout);
    world.SetOut(false);
    WaitFor(fiber, [&] {
      return owner->state().Find({"c", "p"})->calls.front().done &&
             owner->state().Find({"c", "q"})->calls.front().done;
    });
    BOOST_TEST(owner->state().Find({"c", "q"})->calls.front().answer == "two");
  });
}

BOOST_AUTO_TEST_CASE(no_block_passes_the_longest_value) {
  InLane({}, [](Fiber& fiber, LaneWorld& world) {
    const auto owner = Take(fiber, world, "a");
    constexpr int kEntries = 7;
    int committed = 0;
    for (int i = 0; i < kEntries; ++i) {
      fiber.loop().Spawn([&, i](Fiber& child) {
        auto entry = Entry(EntryKind::kCallBegun, "p" + std::to_string(i), "k");
        entry.request.assign(LaneJournal::kMostValueBytes / 3, 'x');
        owner->Append(child, {entry}, kPatience);
        ++committed;
      });
    }
    WaitFor(fiber, [&] { return committed == kEntries; });
    for (const auto& [number, block] : world.blocks()) {
      BOOST_TEST(Encode(block).size() <= LaneJournal::kMostValueBytes);
    }
    // A snapshot of them is longer than one value, and comes back whole.
    owner->SaveSnapshot(fiber);
    auto journal = world.MakeJournal();
    BOOST_TEST((journal.Replay(fiber).state.Snapshot() ==
                world.NaiveState().Snapshot()));
    auto large = Entry(EntryKind::kCallBegun, "p", "large");
    large.request.assign(LaneJournal::kMostValueBytes, 'x');
    BOOST_CHECK_THROW(owner->Append(fiber, {large}, kPatience), EntryTooLarge);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::lane
