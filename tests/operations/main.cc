#define BOOST_TEST_MODULE operations
#include <cstdlib>

#include <boost/test/unit_test.hpp>

namespace {

// The same cases in every run, unless the caller names others.
struct FixedSeed {
  FixedSeed() { setenv("RC_PARAMS", "seed=20261204 max_success=300", 0); }
};

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

}  // namespace
