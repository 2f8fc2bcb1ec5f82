#include "server/lane_manager.h"

#include <boost/test/unit_test.hpp>

#include "lane/lane_world.h"

namespace comfreyfold::lane {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kLanes = 4;
constexpr milliseconds kTimeout{1500};

Heartbeat Named(const std::string& daemon) {
  Heartbeat out;
  out.daemon = daemon;
  out.address = daemon + ":1";
  return out;
}

// A daemon as far as its lanes go. It hears of others only what it is told.
struct Node {
  Node(Fiber& fiber, LaneWorld& world, const std::string& daemon)
      : membership(Named(daemon), kTimeout),
        lanes(fiber.loop(),
              world.kv(),
              world.log(daemon),
              membership,
              world.settings(),
              kLanes) {
    lanes.Open();
  }

  bool Holds(const OwnedLane& lane) const {
    const auto owner = lanes.Find(lane.lane);
    return owner && owner->epoch() == lane.epoch;
  }

  Membership membership;
  LaneManager lanes;
};

// Lanes of `first`, which holds all, that `second` takes when it has heard
// of `first` before that took any. `answer` says whether `first` still owns.
int TakenFromTheLiving(Fiber& fiber,
                       Node& first,
                       Node& second,
                       const LaneOwner::OwnerCheck& answer) {
  first.lanes.Tick();
  WaitFor(fiber, [&] { return first.lanes.owned().size() == kLanes; });
  second.membership.Observe(Named("d0"), steady_clock::now());
  int due = 0;
  for (int i = 0; i < kLanes; ++i) {
    due += second.membership.ShouldTakeLane(i, steady_clock::now()) ? 1 : 0;
  }
  BOOST_REQUIRE(due > 0);
  int spared = 0;
  second.lanes.AskOwners(
      [&](Fiber& child, const std::string& daemon, const OwnedLane& lane) {
        const bool owns = answer(child, daemon, lane);
        spared += owns ? 1 : 0;
        return owns;
      });
  const auto taken = [&second] {
    return static_cast<int>(second.lanes.owned().size());
  };
  second.lanes.Tick();
  WaitFor(fiber, [&] { return spared + taken() == due; });
  return taken();
}

BOOST_AUTO_TEST_SUITE(lane_manager)

BOOST_AUTO_TEST_CASE(no_lane_is_taken_from_an_owner_that_lives) {
  InLane({}, [](Fiber& fiber, LaneWorld& world) {
    Node first(fiber, world, "d0");
    Node second(fiber, world, "d1");
    const auto answer = [&first](Fiber&, const std::string& daemon,
                                 const OwnedLane& lane) {
      BOOST_TEST(daemon == "d0");
      return first.Holds(lane);
    };
    BOOST_TEST(TakenFromTheLiving(fiber, first, second, answer) == 0);
    for (const auto& [lane, owner] : first.lanes.owned()) {
      BOOST_TEST(owner->Confirm(fiber));
    }
  });
}

BOOST_AUTO_TEST_CASE(a_lane_of_an_owner_that_does_not_answer_is_taken) {
  InLane({}, [](Fiber& fiber, LaneWorld& world) {
    Node first(fiber, world, "d0");
    Node second(fiber, world, "d1");
    const auto silent = [](Fiber&, const std::string&, const OwnedLane&) {
      return false;
    };
    BOOST_TEST(TakenFromTheLiving(fiber, first, second, silent) > 0);
  });
}

// Each change lets the daemon doubt its grants, which it can confirm only with
// the service: a try that fails is no change.
BOOST_AUTO_TEST_CASE(a_lane_that_cannot_be_taken_changes_nothing) {
  InLane({}, [](Fiber& fiber, LaneWorld& world) {
    Node node(fiber, world, "d0");
    int changes = 0;
    node.lanes.OnChange([&changes] { ++changes; });
    int tries = 0;
    world.BeforeRequest([&tries](Fiber&, const HttpRequest&) { ++tries; });
    world.SetOut(true);
    WaitFor(fiber, [&] {
      node.lanes.Tick();
      return tries > kLanes;  // One of them is a second try.
    });
    BOOST_TEST(changes == 0);
    world.SetOut(false);
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
