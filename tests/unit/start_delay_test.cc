#include <algorithm>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "core/hash.h"
#include "core/start_delay.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(start_delay)

BOOST_AUTO_TEST_CASE(fleet_of_nine_has_no_delay) {
  for (std::uint64_t seed = 0; seed < 1000; ++seed) {
    BOOST_TEST(StartDelay(9, seed).count() == 0);
  }
}

// The reads per daemon that docs/CAPACITY.md counts for a start. The key-value
// service can take 2,000 reads per second.
BOOST_AUTO_TEST_CASE(start_of_whole_fleet_stays_within_read_rate_of_service) {
  constexpr int kDaemons = 390;
  constexpr int kReadsPerDaemon = 16;
  constexpr int kReadsPerSecond = 2000;
  std::vector<int> reads(20);
  for (int i = 0; i < kDaemons; ++i) {
    const auto delay = StartDelay(kDaemons, Hash64("d" + std::to_string(i)));
    BOOST_REQUIRE(delay < std::chrono::seconds(18));
    reads[static_cast<std::size_t>(delay / std::chrono::seconds(1))] +=
        kReadsPerDaemon;
  }
  const auto max_reads = *std::max_element(reads.begin(), reads.end());
  BOOST_TEST_MESSAGE(max_reads << " reads in the busiest second");
  // Each daemon also reads the list of members at once.
  BOOST_TEST(max_reads + kDaemons <= kReadsPerSecond);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
