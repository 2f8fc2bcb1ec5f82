#define BOOST_TEST_MODULE lane
#include <cstdlib>
#include <iostream>

#include <boost/test/unit_test.hpp>

namespace comfreyfold {
namespace {

// RapidCheck reads its parameters once, before the first property; a run
// with others sets RC_PARAMS.
struct FixedSeed {
  FixedSeed() {
    constexpr char kParams[] = "seed=20261204 max_success=300 max_size=150";
    setenv("RC_PARAMS", kParams, 0);
    std::cout << "RC_PARAMS=\"" << std::getenv("RC_PARAMS") << "\""
              << std::endl;
  }
};

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

}  // namespace
}  // namespace comfreyfold
