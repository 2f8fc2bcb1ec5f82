// Outcomes that one daemon sends to the owner of the lane.

#include "server/outcome_relay.h"

#include <boost/test/unit_test.hpp>

#include "core/hash.h"
#include "lane/entries.h"
#include "lane/lane_world.h"

namespace comfreyfold::lane {
namespace {

using std::chrono::milliseconds;

constexpr int kLanes = 4;
// Longer than the owner waits for its journal in one request.
constexpr milliseconds kOutage{6000};
constexpr milliseconds kTimeLeft{20000};

BOOST_AUTO_TEST_SUITE(outcome_relay)

// An outcome that the owner's journal did not record within 5 s was refused,
// and the caller was told that its call may have run, whatever time was left.
BOOST_AUTO_TEST_CASE(outcome_is_awaited_for_the_time_of_its_call) {
  RunInLane({}, [](Fiber& fiber, LaneWorld& world) {
    Heartbeat self;
    self.daemon = "d1";
    self.address = "d1:1";
    Membership membership(self, kTestTimeout);
    LaneManager lanes(fiber.loop(), world.kv(), world.log("d1"), membership,
                      world.settings(), kLanes);
    lanes.AllowTaking();
    lanes.Tick();
    WaitFor(fiber, [&] { return lanes.owned().size() == kLanes; });
    lanes.Tick();
    const auto lane = lanes.Find(LaneOf("c", "p", kLanes));
    BOOST_REQUIRE(lane);
    lane->Append(fiber, {Entry(EntryKind::kCallBegun, "p", "k")}, kTestTimeout);
    HttpClient http(fiber.loop());
    OutcomeRelay relay(http, membership, lanes, world.log("d1"));
    world.SetServiceDown(true);
    fiber.loop().Spawn([&world](Fiber& child) {
      child.Sleep(kOutage);
      world.SetServiceDown(false);
    });
    BOOST_TEST(
        relay.Send(fiber, Ran("p", "k", "answer"), lane->epoch(), kTimeLeft));
    const auto* call = lane->state().Find({"c", "p"})->FindCall("k");
    BOOST_REQUIRE(call != nullptr);
    BOOST_TEST(call->done);
    BOOST_TEST(call->answer == "answer");
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::lane
