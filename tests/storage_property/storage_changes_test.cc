// Guards against a list of storage members that never stops changing, and
// against records that changes of it leave with too few copies.

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "storage_property/member_simulation.h"

namespace comfreyfold {
namespace {

constexpr int kSteps = 250;

// Plays one random run with `disks` disks.
void PlayChanges(std::size_t disks, int tolerated_losses) {
  const auto seed = *rc::gen::arbitrary<unsigned>();
  MemberSimulation simulation(disks, tolerated_losses, seed);
  for (int n = 0; n < kSteps; ++n) {
    simulation.Step();
  }
  RC_ASSERT(simulation.Settle());
  RC_ASSERT(simulation.FaultOfRecords() == "");
  RC_ASSERT(!simulation.has_left_too_early());
  RC_CLASSIFY(simulation.begun_changes() > 3, "more than three changes");
}

BOOST_AUTO_TEST_SUITE(storage_changes)

RC_BOOST_PROP(lists_of_three_disks_settle_and_keep_records, ()) {
  PlayChanges(3, 1);
}

RC_BOOST_PROP(lists_of_five_disks_settle_and_keep_records, ()) {
  PlayChanges(5, *rc::gen::inRange(1, 3));
}

RC_BOOST_PROP(lists_of_eleven_disks_settle_and_keep_records, ()) {
  PlayChanges(11, *rc::gen::inRange(1, 3));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
