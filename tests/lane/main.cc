#define BOOST_TEST_MODULE lane
#include <boost/test/unit_test.hpp>

#include "harness/fixed_seed.h"

namespace comfreyfold {
namespace {

struct FixedSeed {
  FixedSeed() {
    harness::FixSeed("seed=20261204 max_success=300 max_size=150");
  }
};

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

}  // namespace
}  // namespace comfreyfold
