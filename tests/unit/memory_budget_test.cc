// The memory that the bodies of all requests share.

#include <boost/test/unit_test.hpp>

#include "core/memory_budget.h"

namespace comfreyfold {
namespace {

BOOST_AUTO_TEST_SUITE(memory_budget)

BOOST_AUTO_TEST_CASE(requests_share_the_limit_and_give_back) {
  const auto budget = std::make_shared<MemoryBudget>(100);
  MemoryReservation first(budget);
  BOOST_TEST(first.Grow(60));
  {
    MemoryReservation second(budget);
    BOOST_TEST(!second.Grow(41));
    BOOST_TEST(second.Grow(40));
    BOOST_TEST(!first.Grow(1));
  }
  BOOST_TEST(budget->used() == 60U);
  BOOST_TEST(first.Grow(40));
  BOOST_TEST(!first.Grow(static_cast<std::size_t>(-1)));
}

BOOST_AUTO_TEST_CASE(no_limit_refuses_nothing) {
  const auto budget = std::make_shared<MemoryBudget>(0);
  MemoryReservation all(budget);
  BOOST_TEST(all.Grow(1UL << 40));
}

BOOST_AUTO_TEST_CASE(half_of_the_limit_is_told) {
  const auto budget = std::make_shared<MemoryBudget>(100);
  MemoryReservation taken(budget);
  BOOST_TEST(taken.Grow(49));
  BOOST_TEST(!budget->half_used());
  BOOST_TEST(taken.Grow(1));
  BOOST_TEST(budget->half_used());
  const auto unlimited = std::make_shared<MemoryBudget>(0);
  MemoryReservation all(unlimited);
  BOOST_TEST(all.Grow(100));
  BOOST_TEST(!unlimited->half_used());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
