#include "core/write_pacer.h"

#include <boost/test/unit_test.hpp>

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr int kRate = 100;
constexpr int kBurst = 10;

BOOST_AUTO_TEST_SUITE(write_pacer)

BOOST_AUTO_TEST_CASE(a_burst_is_immediate_and_the_rest_is_paced) {
  WritePacer pacer(kRate, kBurst);
  const WritePacer::TimePoint now{std::chrono::hours(1)};
  for (int i = 0; i < kBurst; ++i) {
    BOOST_TEST(pacer.Reserve(now).count() == 0);
  }
  for (int i = 1; i <= kRate; ++i) {
    BOOST_TEST(pacer.Reserve(now).count() == 1000 * i / kRate);
  }
}

BOOST_AUTO_TEST_CASE(idle_time_is_credited_up_to_the_burst) {
  WritePacer pacer(kRate, kBurst);
  WritePacer::TimePoint now{std::chrono::hours(1)};
  pacer.Reserve(now);
  now += std::chrono::hours(1);
  int immediate = 0;
  while (pacer.Reserve(now).count() == 0) {
    ++immediate;
  }
  BOOST_TEST(immediate == kBurst);
}

BOOST_AUTO_TEST_CASE(a_lower_rate_applies_to_the_next_write) {
  WritePacer pacer(kRate, 0);
  const WritePacer::TimePoint now{std::chrono::hours(1)};
  BOOST_TEST(pacer.Reserve(now).count() == 10);
  pacer.SetRate(kRate / 10);
  BOOST_TEST(pacer.Reserve(now).count() == 110);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
