#include <vector>

#include <boost/test/unit_test.hpp>

#include "core/request_window.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(request_window)

BOOST_AUTO_TEST_CASE(window_shrinks_once_per_congestion) {
  RequestWindow window;
  window.SetSlots(100);
  TimePoint now{milliseconds(1000)};
  window.OnCongestion(100, now);
  const auto size_after_first = window.size();
  BOOST_TEST(size_after_first < 100);
  window.OnCongestion(100, now + milliseconds(10));
  BOOST_TEST(window.size() == size_after_first);
  window.OnCongestion(100, now + milliseconds(200));
  BOOST_TEST(window.size() < size_after_first);
}

BOOST_AUTO_TEST_CASE(window_stays_between_its_minimum_and_the_slots) {
  RequestWindow window;
  window.SetSlots(10);
  TimePoint now{milliseconds(1000)};
  for (int n = 0; n < 100; ++n) {
    window.OnCongestion(10, now += milliseconds(200));
  }
  BOOST_TEST(window.HasRoom(1));
  for (int n = 0; n < 1000; ++n) {
    window.OnSuccess();
  }
  BOOST_TEST(window.size() <= 10);
  BOOST_TEST(!window.HasRoom(10));
}

// An idle daemon has a wide window. The first sign of congestion must shrink it
// below the requests in use, or a burst would pass before it takes effect.
BOOST_AUTO_TEST_CASE(congestion_removes_the_unused_part_of_the_window) {
  RequestWindow window;
  window.SetSlots(350);
  window.OnCongestion(8, TimePoint(milliseconds(1000)));
  BOOST_TEST(window.HasRoom(5));
  BOOST_TEST(!window.HasRoom(8));
}

// Sixty daemons with more requests than the servers have slots share 100 slots.
// The requests at the servers settle near that number, and every daemon keeps
// an open window.
BOOST_AUTO_TEST_CASE(daemons_share_slots_without_messages) {
  constexpr int kDaemons = 60;
  constexpr int kSlots = 100;
  std::vector<RequestWindow> windows(kDaemons);
  for (auto& it : windows) {
    it.SetSlots(kSlots);
  }
  TimePoint now{milliseconds(1000)};
  double at_servers = 0;
  for (int round = 0; round < 400; ++round) {
    now += milliseconds(100);
    at_servers = 0;
    for (const auto& it : windows) {
      at_servers += it.size();
    }
    for (auto& it : windows) {
      if (at_servers > kSlots) {
        it.OnCongestion(static_cast<int>(it.size()), now);
      } else {
        it.OnSuccess();
      }
    }
  }
  BOOST_TEST(at_servers <= kSlots * 1.6);
  for (const auto& it : windows) {
    BOOST_TEST(it.size() >= 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
