// Blocks on the disk of a holder.

#include <boost/test/unit_test.hpp>

#include "lane/entries.h"
#include "lane/in_process_holders.h"
#include "lane/lane_world.h"
#include "wire/codec.h"

namespace comfreyfold::lane {
namespace {

BOOST_AUTO_TEST_SUITE(block_spool)

// A holder wrote a block again for each repeated request. While its disk was
// slow no answer came in time, and idempotent calls were refused.
BOOST_AUTO_TEST_CASE(holders_with_slow_disks_commit_idempotent_calls) {
  RunInLane({}, [](Fiber& fiber, LaneWorld& world) {
    InProcessHolders holders({"h1", "h2"});
    world.SetHolders(holders);
    const auto owner = Take(fiber, world, "a");
    holders.SetSlowDisks(true);
    world.SetServiceDown(true);
    auto intent = Entry(EntryKind::kCallBegun, "p", "k");
    intent.idempotent = true;
    BOOST_CHECK_NO_THROW(
        owner->Append(fiber, {intent}, world.settings().commit_timeout));
    BOOST_TEST(owner->blocks_awaiting_upload() == 1U);
    BOOST_TEST(holders.HeldBy("h1") == 1U);
    BOOST_TEST(holders.HeldBy("h2") == 1U);
    world.SetServiceDown(false);
    WaitFor(fiber, [&] { return holders.held() == 0; });
  });
}

BOOST_AUTO_TEST_CASE(only_the_same_block_is_not_written_again) {
  const ScratchFolder folder;
  EventLog log("holder", "dc", "/dev/null");
  const auto path = folder.Sub("holder");
  std::filesystem::create_directories(path);
  BlockSpool spool(path, log);
  int writes = 0;
  spool.OnDurableWrite([&writes] { ++writes; });
  const auto store = [&spool](const std::string& uid, std::int64_t epoch) {
    const LaneBlock block{1, uid, epoch, "a", {}};
    return spool.Store({spool.id(), 0, epoch, 1, Encode(block)}).status;
  };
  BOOST_TEST((store("u1", 1) == SpoolStatus::kDone));
  BOOST_TEST((store("u1", 1) == SpoolStatus::kDone));
  BOOST_TEST(writes == 1);
  BOOST_TEST((store("u2", 1) == SpoolStatus::kDone));
  BOOST_TEST(writes == 2);
  BOOST_TEST((store("u2", 2) == SpoolStatus::kDone));
  BOOST_TEST(writes == 3);
  BOOST_TEST((store("u2", 1) == SpoolStatus::kSealed));
  const auto held = spool.Seal({spool.id(), 0, 2, 0, {}}).blocks;
  BOOST_REQUIRE(held.size() == 1U);
  BOOST_TEST(DecodeLaneBlock(held.front()).epoch == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::lane
