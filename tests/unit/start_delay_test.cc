#include <algorithm>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "core/hash.h"
#include "core/start_delay.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(start_delay)

BOOST_AUTO_TEST_CASE(a_fleet_of_nine_waits_for_nothing) {
  for (std::uint64_t seed = 0; seed < 1000; ++seed) {
    BOOST_TEST(StartDelay(9, seed).count() == 0);
  }
}

// What docs/CAPACITY.md counts for a start; the service takes 2,000 reads a
// second.
BOOST_AUTO_TEST_CASE(a_whole_fleets_start_stays_within_the_services_rate) {
  constexpr int kDaemons = 390;
  constexpr int kCallsADaemon = 16;
  constexpr int kReadsPerSecond = 2000;
  std::vector<int> calls(20);
  for (int i = 0; i < kDaemons; ++i) {
    const auto delay = StartDelay(kDaemons, Hash64("d" + std::to_string(i)));
    BOOST_REQUIRE(delay < std::chrono::seconds(18));
    calls[static_cast<std::size_t>(delay / std::chrono::seconds(1))] +=
        kCallsADaemon;
  }
  const auto most = *std::max_element(calls.begin(), calls.end());
  BOOST_TEST_MESSAGE(most << " calls in the fullest second");
  // Each daemon reads the list of members at once.
  BOOST_TEST(most + kDaemons <= kReadsPerSecond);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
