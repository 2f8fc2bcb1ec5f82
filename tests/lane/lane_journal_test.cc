#include <boost/test/unit_test.hpp>

#include "lane/entries.h"
#include "lane/lane_world.h"
#include "wire/codec.h"

namespace comfreyfold::lane {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kShortTimeout{150};

void RunCall(Fiber& fiber,
             LaneOwner& owner,
             const std::string& program,
             const std::string& key) {
  owner.Append(fiber, {Entry(EntryKind::kCallBegun, program, key)},
               kTestTimeout);
  owner.Append(fiber, {Ran(program, key, "answer " + key)}, kTestTimeout);
}

BOOST_AUTO_TEST_SUITE(lane_journal)

BOOST_AUTO_TEST_CASE(snapshot_replaces_the_blocks_before_it) {
  RunInLane({}, [](Fiber& fiber, LaneWorld& world) {
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
    BOOST_TEST((replay.state.Snapshot() == world.ReferenceState().Snapshot()));
  });
}

BOOST_AUTO_TEST_CASE(paused_owner_does_not_recreate_a_trimmed_block) {
  RunInLane({}, [](Fiber& fiber, LaneWorld& world) {
    const auto paused_owner = Take(fiber, world, "a");
    const auto owner = Take(fiber, world, "b");
    for (int i = 0; i < 4; ++i) {
      RunCall(fiber, *owner, "p", "k" + std::to_string(i));
    }
    owner->SaveSnapshot(fiber);
    BOOST_CHECK_THROW(RunCall(fiber, *paused_owner, "p", "k9"), LaneLost);
    BOOST_TEST(paused_owner->lost());
    BOOST_TEST(world.repeated_block() == 0);
  });
}

BOOST_AUTO_TEST_CASE(paused_owner_does_not_restore_an_old_snapshot) {
  RunInLane({}, [](Fiber& fiber, LaneWorld& world) {
    const auto paused_owner = Take(fiber, world, "a");
    RunCall(fiber, *paused_owner, "p", "k0");
    const auto owner = Take(fiber, world, "b");
    RunCall(fiber, *owner, "p", "k1");
    owner->SaveSnapshot(fiber);
    paused_owner->SaveSnapshot(fiber);
    BOOST_TEST(paused_owner->lost());
    auto journal = world.MakeJournal();
    BOOST_TEST((journal.Replay(fiber).state.Snapshot() ==
                world.ReferenceState().Snapshot()));
  });
}

BOOST_AUTO_TEST_CASE(delayed_snapshot_does_not_refer_to_deleted_parts) {
  RunInLane({}, [](Fiber& fiber, LaneWorld& world) {
    const auto owner = Take(fiber, world, "a");
    // The part is written; the transaction that refers to it is delayed.
    world.SetDeliveries({Delivery::kAnswered, Delivery::kDelayed});
    BOOST_CHECK_THROW(owner->SaveSnapshot(fiber), KvUnavailable);
    owner->SaveSnapshot(fiber);
    world.DeliverDelayed(fiber);
    auto journal = world.MakeJournal();
    BOOST_TEST((journal.Replay(fiber).state.Snapshot() ==
                world.ReferenceState().Snapshot()));
  });
}

BOOST_AUTO_TEST_CASE(delayed_first_block_is_rejected) {
  RunInLane({}, [](Fiber& fiber, LaneWorld& world) {
    const auto slow = world.MakeOwner("a");
    // The two reads of the replay are answered; the takeover is delayed.
    world.SetDeliveries(
        {Delivery::kAnswered, Delivery::kAnswered, Delivery::kDelayed});
    BOOST_CHECK_THROW(slow->Open(fiber), KvUnavailable);
    const auto owner = Take(fiber, world, "b");
    for (int i = 0; i < 2; ++i) {
      RunCall(fiber, *owner, "p", "k" + std::to_string(i));
    }
    owner->SaveSnapshot(fiber);
    world.DeliverDelayed(fiber);
    BOOST_TEST(world.repeated_block() == 0);
    auto journal = world.MakeJournal();
    BOOST_TEST(!journal.Read(fiber, 1).has_value());
  });
}

BOOST_AUTO_TEST_CASE(replay_survives_a_trim_between_its_reads) {
  RunInLane({}, [](Fiber& fiber, LaneWorld& world) {
    const auto owner = Take(fiber, world, "a");
    for (int i = 0; i < 4; ++i) {
      RunCall(fiber, *owner, "p", "k" + std::to_string(i));
    }
    int requests = 0;
    world.BeforeRequest([&](Fiber& child, const HttpRequest&) {
      // The blocks are trimmed before the second read of the replay.
      if (++requests == 2) {
        owner->SaveSnapshot(child);
      }
    });
    auto journal = world.MakeJournal();
    const auto replay = journal.Replay(fiber);
    BOOST_TEST(replay.snapshot_block == owner->snapshot_block());
    BOOST_TEST((replay.state.Snapshot() == world.ReferenceState().Snapshot()));
  });
}

BOOST_AUTO_TEST_CASE(timed_out_intent_is_recorded_as_not_run) {
  RunInLane({}, [](Fiber& fiber, LaneWorld& world) {
    const auto owner = Take(fiber, world, "a");
    world.SetServiceDown(true);
    BOOST_CHECK_THROW(
        owner->Append(fiber, {Entry(EntryKind::kCallBegun, "p", "k")},
                      kShortTimeout),
        AppendTimeout);
    // While that block is in doubt, other intents fail without waiting for
    // their timeout.
    const auto start = std::chrono::steady_clock::now();
    BOOST_CHECK_THROW(
        owner->Append(fiber, {Entry(EntryKind::kCallBegun, "q", "k")},
                      kTestTimeout),
        AppendTimeout);
    BOOST_TEST((std::chrono::steady_clock::now() - start < kShortTimeout));
    world.SetServiceDown(false);
    WaitFor(fiber, [&] {
      const auto* program = owner->state().Find({"c", "p"});
      return program != nullptr && program->calls.front().done;
    });
    const auto admission = owner->state().Admit(Claim("p", "k"));
    BOOST_TEST((admission.result == AdmitResult::kAgain));
    BOOST_TEST((admission.record->verdict == Verdict::kNotRun));
    BOOST_TEST(owner->state().Find({"c", "q"}) == nullptr);
  });
}

// An idempotent call whose first dispatch may have run is dispatched again, and
// the second intent times out. Its outcome must not claim that the call did not
// run.
BOOST_AUTO_TEST_CASE(timed_out_intent_keeps_the_verdict_of_earlier_dispatches) {
  RunInLane({}, [](Fiber& fiber, LaneWorld& world) {
    const auto owner = Take(fiber, world, "a");
    auto again = Entry(EntryKind::kCallBegun, "p", "k");
    again.idempotent = true;
    owner->Append(fiber, {again}, kTestTimeout);
    world.SetServiceDown(true);
    again.verdict = Verdict::kMayHaveRun;
    BOOST_CHECK_THROW(owner->Append(fiber, {again}, kShortTimeout),
                      AppendTimeout);
    const auto* pending = owner->PendingOutcome({"c", "p"});
    BOOST_REQUIRE(pending != nullptr);
    BOOST_TEST((pending->verdict == Verdict::kMayHaveRun));
    world.SetServiceDown(false);
    WaitFor(fiber, [&] {
      return owner->state().Find({"c", "p"})->calls.front().done;
    });
    const auto admission = owner->state().Admit(Claim("p", "k"));
    BOOST_TEST((admission.result == AdmitResult::kAgain));
    BOOST_TEST((admission.record->verdict == Verdict::kMayHaveRun));
  });
}

BOOST_AUTO_TEST_CASE(outcome_is_committed_after_its_append_timed_out) {
  RunInLane({}, [](Fiber& fiber, LaneWorld& world) {
    const auto owner = Take(fiber, world, "a");
    owner->Append(fiber,
                  {Entry(EntryKind::kCallBegun, "p", "k"),
                   Entry(EntryKind::kCallBegun, "q", "k")},
                  kTestTimeout);
    world.SetServiceDown(true);
    BOOST_CHECK_THROW(
        owner->Append(fiber, {Ran("p", "k", "one")}, kShortTimeout),
        AppendTimeout);
    // This outcome waits in the queue behind the block in doubt.
    BOOST_CHECK_THROW(
        owner->Append(fiber, {Ran("q", "k", "two")}, kShortTimeout),
        AppendTimeout);
    world.SetServiceDown(false);
    WaitFor(fiber, [&] {
      return owner->state().Find({"c", "p"})->calls.front().done &&
             owner->state().Find({"c", "q"})->calls.front().done;
    });
    BOOST_TEST(owner->state().Find({"c", "q"})->calls.front().answer == "two");
  });
}

BOOST_AUTO_TEST_CASE(blocks_do_not_exceed_the_maximum_value_size) {
  RunInLane({}, [](Fiber& fiber, LaneWorld& world) {
    const auto owner = Take(fiber, world, "a");
    constexpr int kEntries = 7;
    int committed = 0;
    for (int i = 0; i < kEntries; ++i) {
      fiber.loop().Spawn([&, i](Fiber& child) {
        auto entry = Entry(EntryKind::kCallBegun, "p" + std::to_string(i), "k");
        entry.request.assign(LaneJournal::kMaxValueBytes / 3, 'x');
        owner->Append(child, {entry}, kTestTimeout);
        ++committed;
      });
    }
    WaitFor(fiber, [&] { return committed == kEntries; });
    for (const auto& [number, block] : world.blocks()) {
      BOOST_TEST(Encode(block).size() <= LaneJournal::kMaxValueBytes);
    }
    // The snapshot is larger than one value and is read back completely.
    owner->SaveSnapshot(fiber);
    auto journal = world.MakeJournal();
    BOOST_TEST((journal.Replay(fiber).state.Snapshot() ==
                world.ReferenceState().Snapshot()));
    auto large = Entry(EntryKind::kCallBegun, "p", "large");
    large.request.assign(LaneJournal::kMaxValueBytes, 'x');
    BOOST_CHECK_THROW(owner->Append(fiber, {large}, kTestTimeout),
                      EntryTooLarge);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::lane
