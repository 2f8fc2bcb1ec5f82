#define BOOST_TEST_MODULE operations
#include <boost/test/unit_test.hpp>

#include "harness/fixed_seed.h"

namespace comfreyfold {
namespace {

struct FixedSeed {
  FixedSeed() { harness::FixSeed("seed=20261204 max_success=300"); }
};

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

}  // namespace
}  // namespace comfreyfold
