#include "core/membership.h"

#include <boost/test/unit_test.hpp>

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{1500};

Heartbeat Claim(const std::string& daemon, std::int64_t epoch) {
  Heartbeat out;
  out.daemon = daemon;
  out.address = daemon + ":1";
  out.lanes.push_back({0, epoch});
  return out;
}

BOOST_AUTO_TEST_SUITE(membership)

// Failed before claims were compared with the newest epoch heard: the lane
// stayed with d1, which had lost it long ago, and nobody took it over.
BOOST_AUTO_TEST_CASE(superseded_claim_does_not_count_when_the_newest_dies) {
  const TimePoint start{};
  Heartbeat self;
  self.daemon = "d0";
  Membership members(self, kTimeout);
  members.Observe(Claim("d1", 2), start);
  members.Observe(Claim("d2", 3), start);
  BOOST_TEST(members.OwnerOf(0, start)->daemon == "d2");

  const auto later = start + kTimeout;
  members.Observe(Claim("d1", 2), later);
  BOOST_TEST(!members.IsLive("d2", later));
  BOOST_TEST(!members.OwnerOf(0, later).has_value());
}

BOOST_AUTO_TEST_CASE(own_superseded_claim_does_not_count_either) {
  const TimePoint start{};
  Membership members(Claim("d0", 1), kTimeout);
  BOOST_TEST(members.OwnerOf(0, start)->daemon == "d0");
  members.Observe(Claim("d2", 3), start);
  const auto later = start + kTimeout;
  BOOST_TEST(!members.OwnerOf(0, later).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
