#include "server/lane_manager.h"

#include <boost/test/unit_test.hpp>

#include "lane/lane_world.h"

namespace comfreyfold::lane {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kLanes = 4;
constexpr milliseconds kTimeout{1500};

Heartbeat HeartbeatOf(const std::string& daemon) {
  Heartbeat out;
  out.daemon = daemon;
  out.address = daemon + ":1";
  return out;
}

// The lanes and the membership of one daemon. It knows of other daemons only
// what the test reports to its membership.
struct Node {
  Node(Fiber& fiber, LaneWorld& world, const std::string& daemon)
      : membership(HeartbeatOf(daemon), kTimeout),
        lanes(fiber.loop(),
              world.kv(),
              world.log(daemon),
              membership,
              world.settings(),
              kLanes) {
    lanes.AllowTaking();
  }

  bool Holds(const OwnedLane& lane) const {
    const auto owner = lanes.Find(lane.lane);
    return owner && owner->epoch() == lane.epoch;
  }

  Membership membership;
  LaneManager lanes;
};

// Returns how many lanes `second` takes from `first`, which owns all of them.
// The only heartbeat of `first` that `second` receives claims no lane, so that
// `second` considers the lanes free. `answer` is the answer to the owner check.
int LanesTakenFromLiveOwner(Fiber& fiber,
                            Node& first,
                            Node& second,
                            const LaneOwner::OwnerCheck& answer) {
  first.lanes.Tick();
  WaitFor(fiber, [&] { return first.lanes.owned().size() == kLanes; });
  second.membership.Observe(HeartbeatOf("d0"), steady_clock::now());
  int due = 0;
  for (int i = 0; i < kLanes; ++i) {
    due += second.membership.ShouldTake(i, steady_clock::now()) ? 1 : 0;
  }
  BOOST_REQUIRE(due > 0);
  int not_taken = 0;
  second.lanes.SetOwnerCheck(
      [&](Fiber& child, const std::string& daemon, const OwnedLane& lane) {
        const bool owns = answer(child, daemon, lane);
        not_taken += owns ? 1 : 0;
        return owns;
      });
  const auto taken = [&second] {
    return static_cast<int>(second.lanes.owned().size());
  };
  second.lanes.Tick();
  WaitFor(fiber, [&] { return not_taken + taken() == due; });
  return taken();
}

BOOST_AUTO_TEST_SUITE(lane_manager)

BOOST_AUTO_TEST_CASE(no_lane_is_taken_from_a_live_owner) {
  RunInLane({}, [](Fiber& fiber, LaneWorld& world) {
    Node first(fiber, world, "d0");
    Node second(fiber, world, "d1");
    const auto answer = [&first](Fiber&, const std::string& daemon,
                                 const OwnedLane& lane) {
      BOOST_TEST(daemon == "d0");
      return first.Holds(lane);
    };
    BOOST_TEST(LanesTakenFromLiveOwner(fiber, first, second, answer) == 0);
    for (const auto& [lane, owner] : first.lanes.owned()) {
      BOOST_TEST(owner->ConfirmOwnership(fiber));
    }
  });
}

BOOST_AUTO_TEST_CASE(lane_of_an_unresponsive_owner_is_taken) {
  RunInLane({}, [](Fiber& fiber, LaneWorld& world) {
    Node first(fiber, world, "d0");
    Node second(fiber, world, "d1");
    const auto no_answer = [](Fiber&, const std::string&, const OwnedLane&) {
      return false;
    };
    BOOST_TEST(LanesTakenFromLiveOwner(fiber, first, second, no_answer) > 0);
  });
}

// Each change of the owned lanes makes the daemon confirm its budget grants,
// which needs the key-value service. If failed attempts to take a lane counted
// as changes, the daemon could not use its grants during an outage.
BOOST_AUTO_TEST_CASE(failed_take_does_not_run_the_change_hook) {
  RunInLane({}, [](Fiber& fiber, LaneWorld& world) {
    Node node(fiber, world, "d0");
    int changes = 0;
    node.lanes.OnChange([&changes] { ++changes; });
    int tries = 0;
    world.BeforeRequest([&tries](Fiber&, const HttpRequest&) { ++tries; });
    world.SetServiceDown(true);
    WaitFor(fiber, [&] {
      node.lanes.Tick();
      return tries > kLanes;  // At least one lane was tried twice.
    });
    BOOST_TEST(changes == 0);
    world.SetServiceDown(false);
    WaitFor(fiber, [&] {
      node.lanes.Tick();
      return node.lanes.owned().size() == kLanes;
    });
    BOOST_TEST(changes == kLanes);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::lane
