#include <vector>

#include <boost/test/unit_test.hpp>

#include "core/request_window.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(request_window)

BOOST_AUTO_TEST_CASE(one_congestion_shrinks_it_once) {
  RequestWindow window;
  window.SetPlaces(100);
  TimePoint now{milliseconds(1000)};
  window.Congested(100, now);
  const auto once = window.size();
  BOOST_TEST(once < 100);
  window.Congested(100, now + milliseconds(10));
  BOOST_TEST(window.size() == once);
  window.Congested(100, now + milliseconds(200));
  BOOST_TEST(window.size() < once);
}

BOOST_AUTO_TEST_CASE(it_never_closes_and_never_passes_the_places) {
  RequestWindow window;
  window.SetPlaces(10);
  TimePoint now{milliseconds(1000)};
  for (int n = 0; n < 100; ++n) {
    window.Congested(10, now += milliseconds(200));
  }
  BOOST_TEST(window.HasRoom(1));
  for (int n = 0; n < 1000; ++n) {
    window.Served();
  }
  BOOST_TEST(window.size() <= 10);
  BOOST_TEST(!window.HasRoom(10));
}

// A daemon that had little to do has a wide window: the first sign of a burst
// has to bind.
BOOST_AUTO_TEST_CASE(what_is_not_in_use_is_lost_at_once) {
  RequestWindow window;
  window.SetPlaces(350);
  window.Congested(8, TimePoint(milliseconds(1000)));
  BOOST_TEST(window.HasRoom(5));
  BOOST_TEST(!window.HasRoom(8));
}

// Sixty daemons press twice what 100 places hold: what lies at the servers
// settles near the places, and nobody is shut out.
BOOST_AUTO_TEST_CASE(many_daemons_share_places_without_knowing_each_other) {
  constexpr int kDaemons = 60;
  constexpr int kPlaces = 100;
  std::vector<RequestWindow> windows(kDaemons);
  for (auto& it : windows) {
    it.SetPlaces(kPlaces);
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
      if (at_servers > kPlaces) {
        it.Congested(static_cast<int>(it.size()), now);
      } else {
        it.Served();
      }
    }
  }
  BOOST_TEST(at_servers <= kPlaces * 1.6);
  for (const auto& it : windows) {
    BOOST_TEST(it.size() >= 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
