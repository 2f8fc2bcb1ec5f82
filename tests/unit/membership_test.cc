#include "core/membership.h"

#include <boost/test/unit_test.hpp>

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{1500};

Heartbeat HeartbeatWithLane(const std::string& daemon, std::int64_t epoch) {
  Heartbeat out;
  out.daemon = daemon;
  out.address = daemon + ":1";
  out.lanes.push_back({0, epoch});
  return out;
}

BOOST_AUTO_TEST_SUITE(membership)

// Guards against claims that are not compared with the newest epoch seen: d1,
// which lost the lane earlier, then counts as its owner once d2 is dead, and no
// daemon takes the lane over.
BOOST_AUTO_TEST_CASE(superseded_claim_is_ignored_after_the_newest_owner_dies) {
  const TimePoint start{};
  Heartbeat self;
  self.daemon = "d0";
  Membership members(self, kTimeout);
  members.Observe(HeartbeatWithLane("d1", 2), start);
  members.Observe(HeartbeatWithLane("d2", 3), start);
  BOOST_TEST(members.OwnerOf(0, start)->daemon == "d2");

  const auto later = start + kTimeout;
  members.Observe(HeartbeatWithLane("d1", 2), later);
  BOOST_TEST(!members.IsLive("d2", later));
  BOOST_TEST(!members.OwnerOf(0, later).has_value());
}

BOOST_AUTO_TEST_CASE(own_superseded_claim_is_ignored) {
  const TimePoint start{};
  Membership members(HeartbeatWithLane("d0", 1), kTimeout);
  BOOST_TEST(members.OwnerOf(0, start)->daemon == "d0");
  members.Observe(HeartbeatWithLane("d2", 3), start);
  const auto later = start + kTimeout;
  BOOST_TEST(!members.OwnerOf(0, later).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
