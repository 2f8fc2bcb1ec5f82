#include <boost/test/unit_test.hpp>

#include "core/hedge_budget.h"

namespace comfreyfold {
namespace {

BOOST_AUTO_TEST_SUITE(hedge_budget)

// When every replica is slow, hedged requests stay a small share of all
// requests, so that they do not slow the replicas further.
BOOST_AUTO_TEST_CASE(hedged_requests_are_limited_when_all_replicas_are_slow) {
  HedgeBudget budget;
  int hedged = 0;
  for (int n = 0; n < 1000; ++n) {
    budget.OnRequestSent();
    hedged += budget.TrySpend() ? 1 : 0;
  }
  BOOST_TEST(hedged <= 1000 / 4);
}

BOOST_AUTO_TEST_CASE(single_slow_replica_is_always_hedged) {
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
