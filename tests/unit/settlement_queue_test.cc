#include <boost/test/unit_test.hpp>

#include "core/settlement_queue.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

TokenUse MakeUse(const char* program, const char* request) {
  return {program, request, 10, true, {}, ""};
}

BOOST_AUTO_TEST_SUITE(settlement_queue)

BOOST_AUTO_TEST_CASE(uses_are_returned_by_program_or_when_due) {
  const TimePoint now{milliseconds(1000)};
  SettlementQueue queue{milliseconds(400)};
  BOOST_TEST(queue.Add(MakeUse("p", "a"), now));
  BOOST_TEST(queue.Add(MakeUse("q", "b"), now + milliseconds(100)));
  BOOST_TEST(queue.ForProgram("p").size() == 1U);
  // Uses stay queued until they are removed.
  BOOST_TEST(queue.size() == 2U);
  queue.Remove(queue.ForProgram("p"));
  BOOST_TEST(queue.ForProgram("p").empty());
  BOOST_TEST(queue.TakeDue(now + milliseconds(499)).empty());
  const auto due = queue.TakeDue(now + milliseconds(500));
  BOOST_TEST(due.size() == 1U);
  BOOST_TEST(due.front().request == "b");
  BOOST_TEST(queue.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
