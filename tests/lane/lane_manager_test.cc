#include "server/lane_manager.h"

#include <boost/test/unit_test.hpp>

#include "lane/lane_world.h"

namespace comfreyfold::lane {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kLanes = 4;
constexpr milliseconds kTimeout{1500};
constexpr milliseconds kPatience{10000};
constexpr milliseconds kStep{5};

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

void WaitFor(Fiber& fiber, const std::function<bool()>& ready) {
  const auto until = steady_clock::now() + kPatience;
  while (!ready() && steady_clock::now() < until) {
    fiber.Sleep(kStep);
  }
  BOOST_REQUIRE(ready());
}

// Lanes of `first`, which holds all, that `second` takes when it has heard
// of `first` before that took any.
int TakenFromTheLiving(Fiber& fiber, Node& first, Node& second) {
  first.lanes.Tick();
  WaitFor(fiber, [&] { return first.lanes.owned().size() == kLanes; });
  second.membership.Observe(Named("d0"), steady_clock::now());
  int due = 0;
  for (int i = 0; i < kLanes; ++i) {
    due += second.membership.ShouldTake(i, steady_clock::now()) ? 1 : 0;
  }
  BOOST_REQUIRE(due > 0);
  int tried = 0;
  second.lanes.OnChange([&tried] { ++tried; });
  second.lanes.Tick();
  WaitFor(fiber, [&] { return tried == due; });
  return static_cast<int>(second.lanes.owned().size());
}

BOOST_AUTO_TEST_SUITE(lane_manager)

BOOST_AUTO_TEST_CASE(no_lane_is_taken_from_an_owner_that_lives) {
  InLane({}, [](Fiber& fiber, LaneWorld& world) {
    Node first(fiber, world, "d0");
    Node second(fiber, world, "d1");
    second.lanes.AskOwners(
        [&first](Fiber&, const std::string& daemon, const OwnedLane& lane) {
          BOOST_TEST(daemon == "d0");
          return first.Holds(lane);
        });
    BOOST_TEST(TakenFromTheLiving(fiber, first, second) == 0);
    for (const auto& [lane, owner] : first.lanes.owned()) {
      BOOST_TEST(owner->Confirm(fiber));
    }
  });
}

BOOST_AUTO_TEST_CASE(a_lane_of_an_owner_that_does_not_answer_is_taken) {
  InLane({}, [](Fiber& fiber, LaneWorld& world) {
    Node first(fiber, world, "d0");
    Node second(fiber, world, "d1");
    second.lanes.AskOwners(
        [](Fiber&, const std::string&, const OwnedLane&) { return false; });
    BOOST_TEST(TakenFromTheLiving(fiber, first, second) > 0);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::lane
