#ifndef HARNESS_FIXED_SEED_H_
#define HARNESS_FIXED_SEED_H_

#include <cstdlib>
#include <iostream>

namespace comfreyfold::harness {

// Makes RapidCheck generate the same cases in every run: sets RC_PARAMS to
// `params` unless the environment sets it, and prints it. Must be called
// before the first property.
inline void FixSeed(const char* params) {
  setenv("RC_PARAMS", params, 0);
  std::cout << "RC_PARAMS=\"" << std::getenv("RC_PARAMS") << "\"" << std::endl;
}

}  // namespace comfreyfold::harness

#endif  // HARNESS_FIXED_SEED_H_
