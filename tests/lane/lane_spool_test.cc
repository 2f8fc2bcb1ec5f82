#include <boost/test/unit_test.hpp>

#include "lane/entries.h"
#include "lane/lane_world.h"
#include "lane/spool_holders.h"
#include "wire/codec.h"

namespace comfreyfold::lane {
namespace {

using std::chrono::milliseconds;
using Without = LaneOwner::WithoutHolders;

constexpr milliseconds kSoon{150};

LaneEntry Lookup(const std::string& program, const std::string& key) {
  auto out = Entry(EntryKind::kCallBegun, program, key);
  out.idempotent = true;
  return out;
}

LaneEntry Booking(const std::string& program, const std::string& key) {
  return Entry(EntryKind::kCallBegun, program, key);
}

// An idempotent call and its outcome.
void LookUp(Fiber& fiber,
            LaneOwner& owner,
            const std::string& program,
            const std::string& key) {
  owner.Append(fiber, {Lookup(program, key)}, kPatience);
  owner.Append(fiber, {Ran(program, key, "answer " + key)}, kPatience);
}

const CallRecord* FindCall(const LaneOwner& owner, const std::string& key) {
  const auto* program = owner.state().Find({"c", "p"});
  return program == nullptr ? nullptr : program->FindCall(key);
}

using Body = std::function<void(Fiber&, LaneWorld&, SpoolHolders&)>;

// Three holders, of which an owner names h1 and h2.
void InSpooledLane(const Body& body) {
  LaneSettings settings;
  settings.snapshot_blocks = 2;
  RunInLane(settings, [&body](Fiber& fiber, LaneWorld& world) {
    SpoolHolders holders({"h1", "h2", "h3"});
    world.SetHolders(holders);
    body(fiber, world, holders);
    // Coroutines that tell the holders to forget may still run.
    world.SetOut(false);
    fiber.Sleep(kSoon);
  });
}

BOOST_AUTO_TEST_SUITE(lane_spool)

BOOST_AUTO_TEST_CASE(blocks_wait_at_both_holders_and_go_up_in_order) {
  InSpooledLane([](Fiber& fiber, LaneWorld& world, SpoolHolders& holders) {
    const auto owner = Take(fiber, world, "a");
    LookUp(fiber, *owner, "p", "k1");
    BOOST_TEST(holders.held() == 0);
    world.SetOut(true);
    for (int i = 2; i < 6; ++i) {
      LookUp(fiber, *owner, "p", "k" + std::to_string(i));
    }
    BOOST_TEST(owner->blocks_awaiting_upload() > 0);
    BOOST_TEST(holders.HeldBy("h1") == owner->blocks_awaiting_upload());
    BOOST_TEST(holders.HeldBy("h2") == owner->blocks_awaiting_upload());
    BOOST_TEST(!owner->snapshot_due());
    world.SetOut(false);
    LookUp(fiber, *owner, "p", "k6");
    WaitFor(fiber, [&] { return owner->blocks_awaiting_upload() == 0; });
    WaitFor(fiber, [&] { return holders.held() == 0; });
    LookUp(fiber, *owner, "p", "k7");
    BOOST_TEST(holders.held() == 0);
    BOOST_TEST(!owner->lost());
    BOOST_TEST(owner->snapshot_due());
    BOOST_TEST((owner->state().Snapshot() == world.NaiveState().Snapshot()));
  });
}

BOOST_AUTO_TEST_CASE(the_next_owner_finds_what_only_holders_had) {
  InSpooledLane([](Fiber& fiber, LaneWorld& world, SpoolHolders& holders) {
    const auto dead = Take(fiber, world, "a");
    world.SetOut(true);
    LookUp(fiber, *dead, "p", "k1");
    LookUp(fiber, *dead, "p", "k2");
    dead->Supersede({});  // It stops, as if it had died.
    holders.SetDown("h1", true);
    holders.Restart("h2");
    world.SetOut(false);
    const auto owner = Take(fiber, world, "b");
    BOOST_TEST(FindCall(*owner, "k1")->answer == "answer k1");
    BOOST_TEST(FindCall(*owner, "k2")->answer == "answer k2");
    BOOST_TEST((owner->state().Snapshot() == world.NaiveState().Snapshot()));
    holders.SetDown("h1", false);
    WaitFor(fiber, [&] { return holders.held() == 0; });
  });
}

BOOST_AUTO_TEST_CASE(a_sealed_owner_commits_nothing_more) {
  InSpooledLane([](Fiber& fiber, LaneWorld& world, SpoolHolders& holders) {
    const auto former = Take(fiber, world, "a");
    world.SetOut(true);
    LookUp(fiber, *former, "p", "k1");
    // Only one holder is sealed; the other still takes the owner's blocks.
    auto taker = world.MakeOwner("b");
    holders.AfterSeal([&](Fiber& child) {
      world.SetOut(true);
      BOOST_CHECK_THROW(
          former->Append(child, {Lookup("p", "k2")}, milliseconds(300)),
          AppendTimeout);
      former->Supersede({});
      world.SetOut(false);
    });
    world.SetOut(false);
    taker->Open(fiber);
    BOOST_TEST(FindCall(*taker, "k1")->answer == "answer k1");
    BOOST_TEST((taker->state().Snapshot() == world.NaiveState().Snapshot()));
  });
}

BOOST_AUTO_TEST_CASE(one_holder_is_not_enough) {
  InSpooledLane([](Fiber& fiber, LaneWorld& world, SpoolHolders& holders) {
    const auto owner = Take(fiber, world, "a");
    holders.SetDown("h2", true);
    world.SetOut(true);
    BOOST_CHECK_THROW(owner->Append(fiber, {Lookup("p", "k1")}, kSoon),
                      AppendTimeout);
    BOOST_TEST(owner->blocks_awaiting_upload() == 0);
    BOOST_TEST(FindCall(*owner, "k1") == nullptr);
    // The block in doubt is tried again as itself, at the holders as well.
    holders.SetDown("h2", false);
    WaitFor(fiber, [&] { return owner->blocks_awaiting_upload() > 0; });
    LookUp(fiber, *owner, "p", "k2");
    world.SetOut(false);
    WaitFor(fiber, [&] { return holders.held() == 0; });
    BOOST_TEST(FindCall(*owner, "k2")->answer == "answer k2");
    BOOST_TEST((owner->state().Snapshot() == world.NaiveState().Snapshot()));
  });
}

BOOST_AUTO_TEST_CASE(what_must_not_run_twice_is_refused) {
  InSpooledLane([](Fiber& fiber, LaneWorld& world, SpoolHolders& holders) {
    const auto owner = Take(fiber, world, "a");
    world.SetOut(true);
    // It is in the block in doubt, and withdrawn once the holders have that.
    BOOST_CHECK_THROW(owner->Append(fiber, {Booking("p", "k1")}, kPatience),
                      AppendTimeout);
    WaitFor(fiber, [&] {
      const auto* call = FindCall(*owner, "k1");
      return call != nullptr && call->done;
    });
    BOOST_TEST((FindCall(*owner, "k1")->verdict == Verdict::kNotRun));
    // From here on it is refused at once, and in no block.
    BOOST_CHECK_THROW(owner->Append(fiber, {Booking("q", "k1")}, kPatience),
                      AppendTimeout);
    BOOST_TEST(owner->state().Find({"c", "q"}) == nullptr);
    BOOST_TEST(!owner->Handover(fiber, kSoon));
    LookUp(fiber, *owner, "p", "k2");
    world.SetOut(false);
    WaitFor(fiber, [&] { return holders.held() == 0; });
    owner->Append(fiber, {Booking("p", "k1")}, kPatience);
    BOOST_TEST((owner->state().Snapshot() == world.NaiveState().Snapshot()));
  });
}

BOOST_AUTO_TEST_CASE(a_booking_behind_a_block_in_doubt_is_refused) {
  InSpooledLane([](Fiber& fiber, LaneWorld& world, SpoolHolders&) {
    const auto owner = Take(fiber, world, "a");
    world.SetOut(true);
    bool looked_up = false;
    fiber.loop().Spawn([&](Fiber& child) {
      owner->Append(child, {Lookup("p", "k1")}, kPatience);
      looked_up = true;
    });
    fiber.Sleep(milliseconds(1));
    BOOST_CHECK_THROW(owner->Append(fiber, {Booking("q", "k1")}, kPatience),
                      AppendTimeout);
    WaitFor(fiber, [&] { return looked_up; });
    BOOST_TEST(owner->state().Find({"c", "q"}) == nullptr);
  });
}

// Nobody could take the lane that is handed over.
BOOST_AUTO_TEST_CASE(a_handover_behind_a_block_in_doubt_does_not_stop_work) {
  InSpooledLane([](Fiber& fiber, LaneWorld& world, SpoolHolders&) {
    const auto owner = Take(fiber, world, "a");
    world.SetOut(true);
    bool looked_up = false;
    fiber.loop().Spawn([&](Fiber& child) {
      owner->Append(child, {Lookup("p", "k1")}, kPatience);
      looked_up = true;
    });
    fiber.Sleep(milliseconds(1));
    BOOST_TEST(!owner->Handover(fiber, kPatience));
    WaitFor(fiber, [&] { return looked_up; });
    LookUp(fiber, *owner, "p", "k2");
    BOOST_TEST(!owner->lost());
  });
}

BOOST_AUTO_TEST_CASE(with_one_candidate_no_holder_is_named) {
  InSpooledLane([](Fiber& fiber, LaneWorld& world, SpoolHolders& holders) {
    const auto former = Take(fiber, world, "a");
    former->Supersede({});
    holders.SetDown("h2", true);
    holders.SetDown("h3", true);
    const auto owner = Take(fiber, world, "b");
    BOOST_TEST(owner->state().holders().empty());
    world.SetOut(true);
    BOOST_CHECK_THROW(owner->Append(fiber, {Lookup("p", "k1")}, kSoon),
                      AppendTimeout);
    BOOST_TEST(holders.held() == 0);
  });
}

BOOST_AUTO_TEST_CASE(no_takeover_while_a_holder_may_come_back) {
  InSpooledLane([](Fiber& fiber, LaneWorld& world, SpoolHolders& holders) {
    const auto dead = Take(fiber, world, "a");
    world.SetOut(true);
    LookUp(fiber, *dead, "p", "k1");
    dead->Supersede({});
    holders.SetDown("h1", true);
    holders.SetDown("h2", true);
    world.SetOut(false);
    for (const auto without : {Without::kRefuse, Without::kTakeOver}) {
      const auto taker = world.MakeOwner("b");
      BOOST_CHECK_THROW(taker->Open(fiber, {}, without), HoldersUnreachable);
    }
    // One has left, the other has lost its disk: nothing can come back.
    holders.SetListed("h1", false);
    holders.ReplaceDisk("h2");
    holders.SetDown("h2", false);
    const auto patient = world.MakeOwner("b");
    BOOST_CHECK_THROW(patient->Open(fiber), HoldersUnreachable);
    const auto taker = world.MakeOwner("b");
    taker->Open(fiber, {}, Without::kTakeOver);
    BOOST_TEST(taker->state().Find({"c", "p"}) == nullptr);
    BOOST_TEST((taker->state().Snapshot() == world.NaiveState().Snapshot()));
  });
}

// While one daemon seals, another takes the lane over and writes to holders
// of its own: the first must start again.
BOOST_AUTO_TEST_CASE(a_seal_of_an_older_epoch_does_not_count) {
  InSpooledLane([](Fiber& fiber, LaneWorld& world, SpoolHolders& holders) {
    const auto first = Take(fiber, world, "a");
    first->Supersede({});
    std::shared_ptr<LaneOwner> between;
    holders.AfterSeal([&](Fiber& child) {
      between = Take(child, world, "b");
      LookUp(child, *between, "p", "k1");
      world.SetOut(true);
      LookUp(child, *between, "p", "k2");
      world.SetOut(false);
    });
    const auto slow = world.MakeOwner("c");
    BOOST_CHECK_THROW(slow->Open(fiber), LaneLost);
    const auto last = Take(fiber, world, "c");
    BOOST_TEST(FindCall(*last, "k2")->answer == "answer k2");
    BOOST_TEST((last->state().Snapshot() == world.NaiveState().Snapshot()));
    WaitFor(fiber, [&] {
      return between->blocks_awaiting_upload() == 0 || between->lost();
    });
  });
}

BOOST_AUTO_TEST_CASE(a_holder_that_has_left_is_replaced) {
  InSpooledLane([](Fiber& fiber, LaneWorld& world, SpoolHolders& holders) {
    const auto owner = Take(fiber, world, "a");
    BOOST_TEST((owner->state().holders() ==
                std::vector{holders.Named("h1"), holders.Named("h2")}));
    holders.SetDown("h1", true);
    const auto start = std::chrono::steady_clock::now();
    owner->ReviewHolders(start);
    fiber.Sleep(kSoon);
    BOOST_TEST((owner->state().holders().front() == holders.Named("h1")));
    owner->ReviewHolders(start + std::chrono::minutes(1));
    const std::vector named{holders.Named("h2"), holders.Named("h3")};
    WaitFor(fiber, [&] { return owner->state().holders() == named; });
    world.SetOut(true);
    LookUp(fiber, *owner, "p", "k1");
    BOOST_TEST(holders.HeldBy("h3") == owner->blocks_awaiting_upload());
    owner->Supersede({});
    world.SetOut(false);
    const auto next = Take(fiber, world, "b");
    BOOST_TEST(FindCall(*next, "k1")->answer == "answer k1");
  });
}

BOOST_AUTO_TEST_CASE(an_answer_lost_at_a_holder_commits_once) {
  InSpooledLane([](Fiber& fiber, LaneWorld& world, SpoolHolders& holders) {
    const auto owner = Take(fiber, world, "a");
    world.SetOut(true);
    holders.LoseAnswers("h1", 2);
    holders.LoseAnswers("h2", 1);
    LookUp(fiber, *owner, "p", "k1");
    world.SetOut(false);
    WaitFor(fiber, [&] { return holders.held() == 0; });
    BOOST_TEST(world.repeated_block() == 0);
    BOOST_TEST((owner->state().Snapshot() == world.NaiveState().Snapshot()));
  });
}

// Taken over without the blocks that wait: the next block that this owner
// would write is absent, and yet it owns nothing.
BOOST_AUTO_TEST_CASE(an_owner_whose_blocks_were_given_up_confirms_nothing) {
  InSpooledLane([](Fiber& fiber, LaneWorld& world, SpoolHolders& holders) {
    const auto former = Take(fiber, world, "a");
    world.SetOut(true);
    LookUp(fiber, *former, "p", "k1");
    LookUp(fiber, *former, "p", "k2");
    for (const auto* const it : {"h1", "h2"}) {
      holders.SetDown(it, true);
      holders.SetListed(it, false);
    }
    world.CutOff("a");
    world.SetOut(false);
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

BOOST_AUTO_TEST_CASE(blocks_and_seals_outlive_a_restart) {
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

BOOST_AUTO_TEST_CASE(an_older_epoch_replaces_no_newer_block) {
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

BOOST_AUTO_TEST_CASE(another_disk_is_another_spool) {
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

BOOST_AUTO_TEST_CASE(a_block_that_comes_after_it_is_forgotten_stays_away) {
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
