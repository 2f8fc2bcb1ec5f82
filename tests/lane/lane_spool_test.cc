#include <boost/test/unit_test.hpp>

#include "lane/entries.h"
#include "lane/in_process_holders.h"
#include "lane/lane_world.h"
#include "wire/codec.h"

namespace comfreyfold::lane {
namespace {

using std::chrono::milliseconds;
using Without = LaneOwner::WithoutHolders;

constexpr milliseconds kShortTimeout{150};

// An intent that may be committed at the holders.
LaneEntry IdempotentIntent(const std::string& program, const std::string& key) {
  auto out = Entry(EntryKind::kCallBegun, program, key);
  out.idempotent = true;
  return out;
}

// An intent of a call that must not run twice.
LaneEntry UnsafeIntent(const std::string& program, const std::string& key) {
  return Entry(EntryKind::kCallBegun, program, key);
}

// Appends an idempotent call and its outcome.
void RunIdempotentCall(Fiber& fiber,
                       LaneOwner& owner,
                       const std::string& program,
                       const std::string& key) {
  owner.Append(fiber, {IdempotentIntent(program, key)}, kTestTimeout);
  owner.Append(fiber, {Ran(program, key, "answer " + key)}, kTestTimeout);
}

const CallRecord* FindCall(const LaneOwner& owner, const std::string& key) {
  const auto* program = owner.state().Find({"c", "p"});
  return program == nullptr ? nullptr : program->FindCall(key);
}

using Body = std::function<void(Fiber&, LaneWorld&, InProcessHolders&)>;

// Runs `body` with three holders, of which an owner chooses h1 and h2.
void RunWithHolders(const Body& body) {
  LaneSettings settings;
  settings.snapshot_blocks = 2;
  RunInLane(settings, [&body](Fiber& fiber, LaneWorld& world) {
    InProcessHolders holders({"h1", "h2", "h3"});
    world.SetHolders(holders);
    body(fiber, world, holders);
    // Coroutines that tell the holders to forget blocks may still be running.
    world.SetServiceDown(false);
    fiber.Sleep(kShortTimeout);
  });
}

BOOST_AUTO_TEST_SUITE(lane_spool)

BOOST_AUTO_TEST_CASE(blocks_wait_at_both_holders_and_are_uploaded_in_order) {
  RunWithHolders([](Fiber& fiber, LaneWorld& world, InProcessHolders& holders) {
    const auto owner = Take(fiber, world, "a");
    RunIdempotentCall(fiber, *owner, "p", "k1");
    BOOST_TEST(holders.held() == 0);
    world.SetServiceDown(true);
    for (int i = 2; i < 6; ++i) {
      RunIdempotentCall(fiber, *owner, "p", "k" + std::to_string(i));
    }
    BOOST_TEST(owner->blocks_awaiting_upload() > 0);
    BOOST_TEST(holders.HeldBy("h1") == owner->blocks_awaiting_upload());
    BOOST_TEST(holders.HeldBy("h2") == owner->blocks_awaiting_upload());
    BOOST_TEST(!owner->snapshot_due());
    world.SetServiceDown(false);
    RunIdempotentCall(fiber, *owner, "p", "k6");
    WaitFor(fiber, [&] { return owner->blocks_awaiting_upload() == 0; });
    WaitFor(fiber, [&] { return holders.held() == 0; });
    RunIdempotentCall(fiber, *owner, "p", "k7");
    BOOST_TEST(holders.held() == 0);
    BOOST_TEST(!owner->lost());
    BOOST_TEST(owner->snapshot_due());
    BOOST_TEST(
        (owner->state().Snapshot() == world.ReferenceState().Snapshot()));
  });
}

BOOST_AUTO_TEST_CASE(new_owner_recovers_blocks_that_only_holders_have) {
  RunWithHolders([](Fiber& fiber, LaneWorld& world, InProcessHolders& holders) {
    const auto failed_owner = Take(fiber, world, "a");
    world.SetServiceDown(true);
    RunIdempotentCall(fiber, *failed_owner, "p", "k1");
    RunIdempotentCall(fiber, *failed_owner, "p", "k2");
    // Stops the owner as if its daemon had failed.
    failed_owner->Supersede({});
    holders.SetDown("h1", true);
    holders.Restart("h2");
    world.SetServiceDown(false);
    const auto owner = Take(fiber, world, "b");
    BOOST_TEST(FindCall(*owner, "k1")->answer == "answer k1");
    BOOST_TEST(FindCall(*owner, "k2")->answer == "answer k2");
    BOOST_TEST(
        (owner->state().Snapshot() == world.ReferenceState().Snapshot()));
    holders.SetDown("h1", false);
    WaitFor(fiber, [&] { return holders.held() == 0; });
  });
}

BOOST_AUTO_TEST_CASE(sealed_owner_commits_no_further_blocks) {
  RunWithHolders([](Fiber& fiber, LaneWorld& world, InProcessHolders& holders) {
    const auto former = Take(fiber, world, "a");
    world.SetServiceDown(true);
    RunIdempotentCall(fiber, *former, "p", "k1");
    // Only one holder is sealed; the other still stores the owner's blocks.
    auto taker = world.MakeOwner("b");
    holders.AfterSeal([&](Fiber& child) {
      world.SetServiceDown(true);
      BOOST_CHECK_THROW(former->Append(child, {IdempotentIntent("p", "k2")},
                                       milliseconds(300)),
                        AppendTimeout);
      former->Supersede({});
      world.SetServiceDown(false);
    });
    world.SetServiceDown(false);
    taker->Open(fiber);
    BOOST_TEST(FindCall(*taker, "k1")->answer == "answer k1");
    BOOST_TEST(
        (taker->state().Snapshot() == world.ReferenceState().Snapshot()));
  });
}

BOOST_AUTO_TEST_CASE(block_is_not_committed_at_one_holder) {
  RunWithHolders([](Fiber& fiber, LaneWorld& world, InProcessHolders& holders) {
    const auto owner = Take(fiber, world, "a");
    holders.SetDown("h2", true);
    world.SetServiceDown(true);
    BOOST_CHECK_THROW(
        owner->Append(fiber, {IdempotentIntent("p", "k1")}, kShortTimeout),
        AppendTimeout);
    BOOST_TEST(owner->blocks_awaiting_upload() == 0);
    BOOST_TEST(FindCall(*owner, "k1") == nullptr);
    // The block in doubt is retried unchanged, at the holders as well.
    holders.SetDown("h2", false);
    WaitFor(fiber, [&] { return owner->blocks_awaiting_upload() > 0; });
    RunIdempotentCall(fiber, *owner, "p", "k2");
    world.SetServiceDown(false);
    WaitFor(fiber, [&] { return holders.held() == 0; });
    BOOST_TEST(FindCall(*owner, "k2")->answer == "answer k2");
    BOOST_TEST(
        (owner->state().Snapshot() == world.ReferenceState().Snapshot()));
  });
}

BOOST_AUTO_TEST_CASE(non_idempotent_call_is_refused_during_an_outage) {
  RunWithHolders([](Fiber& fiber, LaneWorld& world, InProcessHolders& holders) {
    const auto owner = Take(fiber, world, "a");
    world.SetServiceDown(true);
    // The intent is in the block in doubt, and is withdrawn once the holders
    // have that block.
    BOOST_CHECK_THROW(
        owner->Append(fiber, {UnsafeIntent("p", "k1")}, kTestTimeout),
        AppendTimeout);
    WaitFor(fiber, [&] {
      const auto* call = FindCall(*owner, "k1");
      return call != nullptr && call->done;
    });
    BOOST_TEST((FindCall(*owner, "k1")->verdict == Verdict::kNotRun));
    // From now on such intents are refused at once and are in no block.
    BOOST_CHECK_THROW(
        owner->Append(fiber, {UnsafeIntent("q", "k1")}, kTestTimeout),
        AppendTimeout);
    BOOST_TEST(owner->state().Find({"c", "q"}) == nullptr);
    BOOST_TEST(!owner->Handover(fiber, kShortTimeout));
    RunIdempotentCall(fiber, *owner, "p", "k2");
    world.SetServiceDown(false);
    WaitFor(fiber, [&] { return holders.held() == 0; });
    owner->Append(fiber, {UnsafeIntent("p", "k1")}, kTestTimeout);
    BOOST_TEST(
        (owner->state().Snapshot() == world.ReferenceState().Snapshot()));
  });
}

BOOST_AUTO_TEST_CASE(non_idempotent_call_behind_a_block_in_doubt_is_refused) {
  RunWithHolders([](Fiber& fiber, LaneWorld& world, InProcessHolders&) {
    const auto owner = Take(fiber, world, "a");
    world.SetServiceDown(true);
    bool committed = false;
    fiber.loop().Spawn([&](Fiber& child) {
      owner->Append(child, {IdempotentIntent("p", "k1")}, kTestTimeout);
      committed = true;
    });
    fiber.Sleep(milliseconds(1));
    BOOST_CHECK_THROW(
        owner->Append(fiber, {UnsafeIntent("q", "k1")}, kTestTimeout),
        AppendTimeout);
    WaitFor(fiber, [&] { return committed; });
    BOOST_TEST(owner->state().Find({"c", "q"}) == nullptr);
  });
}

// During an outage no daemon could take a lane that is handed over, so the
// handover must fail and leave the lane in use.
BOOST_AUTO_TEST_CASE(failed_handover_does_not_block_appends) {
  RunWithHolders([](Fiber& fiber, LaneWorld& world, InProcessHolders&) {
    const auto owner = Take(fiber, world, "a");
    world.SetServiceDown(true);
    bool committed = false;
    fiber.loop().Spawn([&](Fiber& child) {
      owner->Append(child, {IdempotentIntent("p", "k1")}, kTestTimeout);
      committed = true;
    });
    fiber.Sleep(milliseconds(1));
    BOOST_TEST(!owner->Handover(fiber, kTestTimeout));
    WaitFor(fiber, [&] { return committed; });
    RunIdempotentCall(fiber, *owner, "p", "k2");
    BOOST_TEST(!owner->lost());
  });
}

BOOST_AUTO_TEST_CASE(no_holders_are_assigned_with_one_candidate) {
  RunWithHolders([](Fiber& fiber, LaneWorld& world, InProcessHolders& holders) {
    const auto former = Take(fiber, world, "a");
    former->Supersede({});
    holders.SetDown("h2", true);
    holders.SetDown("h3", true);
    const auto owner = Take(fiber, world, "b");
    BOOST_TEST(owner->state().holders().empty());
    world.SetServiceDown(true);
    BOOST_CHECK_THROW(
        owner->Append(fiber, {IdempotentIntent("p", "k1")}, kShortTimeout),
        AppendTimeout);
    BOOST_TEST(holders.held() == 0);
  });
}

BOOST_AUTO_TEST_CASE(no_takeover_while_a_holder_may_return) {
  RunWithHolders([](Fiber& fiber, LaneWorld& world, InProcessHolders& holders) {
    const auto failed_owner = Take(fiber, world, "a");
    world.SetServiceDown(true);
    RunIdempotentCall(fiber, *failed_owner, "p", "k1");
    failed_owner->Supersede({});
    holders.SetDown("h1", true);
    holders.SetDown("h2", true);
    world.SetServiceDown(false);
    for (const auto without : {Without::kRefuse, Without::kTakeOver}) {
      const auto taker = world.MakeOwner("b");
      BOOST_CHECK_THROW(taker->Open(fiber, {}, without), HoldersUnreachable);
    }
    // One holder has left the fleet and the other has lost its disk, so the
    // block cannot be recovered.
    holders.SetListed("h1", false);
    holders.ReplaceDisk("h2");
    holders.SetDown("h2", false);
    const auto refusing = world.MakeOwner("b");
    BOOST_CHECK_THROW(refusing->Open(fiber), HoldersUnreachable);
    const auto taker = world.MakeOwner("b");
    taker->Open(fiber, {}, Without::kTakeOver);
    BOOST_TEST(taker->state().Find({"c", "p"}) == nullptr);
    BOOST_TEST(
        (taker->state().Snapshot() == world.ReferenceState().Snapshot()));
  });
}

// While one daemon seals the holders, another takes the lane over and stores
// blocks at its own holders. The first must fail and start again.
BOOST_AUTO_TEST_CASE(seal_of_an_older_epoch_is_not_sufficient) {
  RunWithHolders([](Fiber& fiber, LaneWorld& world, InProcessHolders& holders) {
    const auto first = Take(fiber, world, "a");
    first->Supersede({});
    std::shared_ptr<LaneOwner> intermediate;
    holders.AfterSeal([&](Fiber& child) {
      intermediate = Take(child, world, "b");
      RunIdempotentCall(child, *intermediate, "p", "k1");
      world.SetServiceDown(true);
      RunIdempotentCall(child, *intermediate, "p", "k2");
      world.SetServiceDown(false);
    });
    const auto slow = world.MakeOwner("c");
    BOOST_CHECK_THROW(slow->Open(fiber), LaneLost);
    const auto last = Take(fiber, world, "c");
    BOOST_TEST(FindCall(*last, "k2")->answer == "answer k2");
    BOOST_TEST((last->state().Snapshot() == world.ReferenceState().Snapshot()));
    WaitFor(fiber, [&] {
      return intermediate->blocks_awaiting_upload() == 0 ||
             intermediate->lost();
    });
  });
}

BOOST_AUTO_TEST_CASE(unavailable_holder_is_replaced) {
  RunWithHolders([](Fiber& fiber, LaneWorld& world, InProcessHolders& holders) {
    const auto owner = Take(fiber, world, "a");
    BOOST_TEST((owner->state().holders() ==
                std::vector{holders.HolderOf("h1"), holders.HolderOf("h2")}));
    holders.SetDown("h1", true);
    const auto start = std::chrono::steady_clock::now();
    owner->ReviewHolders(start);
    fiber.Sleep(kShortTimeout);
    BOOST_TEST((owner->state().holders().front() == holders.HolderOf("h1")));
    owner->ReviewHolders(start + std::chrono::minutes(1));
    const std::vector expected{holders.HolderOf("h2"), holders.HolderOf("h3")};
    WaitFor(fiber, [&] { return owner->state().holders() == expected; });
    world.SetServiceDown(true);
    RunIdempotentCall(fiber, *owner, "p", "k1");
    BOOST_TEST(holders.HeldBy("h3") == owner->blocks_awaiting_upload());
    owner->Supersede({});
    world.SetServiceDown(false);
    const auto next = Take(fiber, world, "b");
    BOOST_TEST(FindCall(*next, "k1")->answer == "answer k1");
  });
}

BOOST_AUTO_TEST_CASE(block_commits_once_when_holder_answers_are_lost) {
  RunWithHolders([](Fiber& fiber, LaneWorld& world, InProcessHolders& holders) {
    const auto owner = Take(fiber, world, "a");
    world.SetServiceDown(true);
    holders.LoseAnswers("h1", 2);
    holders.LoseAnswers("h2", 1);
    RunIdempotentCall(fiber, *owner, "p", "k1");
    world.SetServiceDown(false);
    WaitFor(fiber, [&] { return holders.held() == 0; });
    BOOST_TEST(world.repeated_block() == 0);
    BOOST_TEST(
        (owner->state().Snapshot() == world.ReferenceState().Snapshot()));
  });
}

// The lane is taken over without the blocks that wait for upload. The service
// then has no block with the number that the former owner would write next, but
// that must not count as proof of its ownership.
BOOST_AUTO_TEST_CASE(owner_of_abandoned_blocks_does_not_confirm_ownership) {
  RunWithHolders([](Fiber& fiber, LaneWorld& world, InProcessHolders& holders) {
    const auto former = Take(fiber, world, "a");
    world.SetServiceDown(true);
    RunIdempotentCall(fiber, *former, "p", "k1");
    RunIdempotentCall(fiber, *former, "p", "k2");
    for (const auto* const it : {"h1", "h2"}) {
      holders.SetDown(it, true);
      holders.SetListed(it, false);
    }
    world.DropBlocksOf("a");
    world.SetServiceDown(false);
    const auto taker = world.MakeOwner("b");
    taker->Open(fiber, {}, Without::kTakeOver);
    BOOST_TEST(former->blocks_awaiting_upload() > 0);
    BOOST_TEST(!former->ConfirmOwnership(fiber));
  });
}

BOOST_AUTO_TEST_SUITE_END()

LaneBlock BlockOf(std::int64_t number, std::int64_t epoch) {
  return {number, "u" + std::to_string(epoch), epoch, "a", {}};
}

SpoolRequest Request(const BlockSpool& spool, const LaneBlock& block) {
  return {spool.id(), 1, block.epoch, block.number, Encode(block)};
}

BOOST_AUTO_TEST_SUITE(block_spool)

BOOST_AUTO_TEST_CASE(blocks_and_seals_survive_a_restart) {
  const ScratchFolder folder;
  EventLog log("h", "dc", "/dev/null");
  std::string id;
  {
    BlockSpool spool(folder.Sub("."), log);
    id = spool.id();
    spool.Store(Request(spool, BlockOf(5, 2)));
    spool.Store(Request(spool, BlockOf(6, 2)));
    spool.Seal({id, 1, 3, 0, {}});
  }
  BlockSpool spool(folder.Sub("."), log);
  BOOST_TEST(spool.id() == id);
  BOOST_TEST(spool.held() == 2);
  BOOST_TEST((spool.Store(Request(spool, BlockOf(7, 2))).status ==
              SpoolStatus::kSealed));
  BOOST_TEST((spool.Seal({id, 1, 2, 0, {}}).status == SpoolStatus::kSealed));
  const auto sealed = spool.Seal({id, 1, 3, 5, {}});
  BOOST_TEST(sealed.blocks.size() == 1);
  BOOST_TEST((DecodeLaneBlock(sealed.blocks.front()) == BlockOf(6, 2)));
}

BOOST_AUTO_TEST_CASE(older_epoch_does_not_replace_a_newer_block) {
  const ScratchFolder folder;
  EventLog log("h", "dc", "/dev/null");
  BlockSpool spool(folder.Sub("."), log);
  spool.Store(Request(spool, BlockOf(5, 2)));
  BOOST_TEST((spool.Store(Request(spool, BlockOf(5, 1))).status ==
              SpoolStatus::kSealed));
  BOOST_TEST((spool.Store(Request(spool, BlockOf(5, 3))).status ==
              SpoolStatus::kDone));
  const auto sealed = spool.Seal({spool.id(), 1, 3, 0, {}});
  BOOST_TEST((DecodeLaneBlock(sealed.blocks.front()) == BlockOf(5, 3)));
}

BOOST_AUTO_TEST_CASE(replaced_disk_is_rejected_as_another_spool) {
  const ScratchFolder folder;
  EventLog log("h", "dc", "/dev/null");
  const BlockSpool former(folder.Sub("."), log);
  auto request = Request(former, BlockOf(1, 1));
  std::filesystem::remove_all(folder.Sub("spool"));
  BlockSpool spool(folder.Sub("."), log);
  BOOST_TEST((spool.Store(request).status == SpoolStatus::kOtherSpool));
  BOOST_TEST((spool.Seal(request).status == SpoolStatus::kOtherSpool));
  BOOST_TEST((spool.Forget(request).status == SpoolStatus::kOtherSpool));
}

BOOST_AUTO_TEST_CASE(forgotten_block_is_not_stored_again) {
  const ScratchFolder folder;
  EventLog log("h", "dc", "/dev/null");
  BlockSpool spool(folder.Sub("."), log);
  spool.Store(Request(spool, BlockOf(5, 1)));
  spool.Forget({spool.id(), 1, 0, 6, {}});
  BOOST_TEST(spool.held() == 0);
  spool.Store(Request(spool, BlockOf(6, 1)));
  BOOST_TEST(spool.held() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::lane
