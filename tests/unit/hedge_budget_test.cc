#include <boost/test/unit_test.hpp>

#include "core/hedge_budget.h"

namespace comfreyfold {
namespace {

BOOST_AUTO_TEST_SUITE(retry_budget)

// Every replica is slow: requests sent once more stay a small share, so that
// they do not keep the replicas slow.
BOOST_AUTO_TEST_CASE(slowness_of_all_is_not_multiplied) {
  HedgeBudget budget;
  int again = 0;
  for (int n = 0; n < 1000; ++n) {
    budget.OnRequestSent();
    again += budget.TrySpend() ? 1 : 0;
  }
  BOOST_TEST(again <= 1000 / 4);
}

BOOST_AUTO_TEST_CASE(a_single_slow_one_is_helped_out) {
  HedgeBudget budget;
  for (int n = 0; n < 1000; ++n) {
    budget.OnRequestSent();
    if (n % 12 == 0) {
      BOOST_TEST(budget.TrySpend());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
