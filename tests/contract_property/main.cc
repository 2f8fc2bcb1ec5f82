#define BOOST_TEST_MODULE contract_property
#include <boost/test/unit_test.hpp>

#include "harness/fixed_seed.h"

namespace comfreyfold {
namespace {

struct FixedSeed {
  FixedSeed() {
    harness::FixSeed("seed=20261204 max_success=1000 max_size=400");
  }
};

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

}  // namespace
}  // namespace comfreyfold
