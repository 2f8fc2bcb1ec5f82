#ifndef CORE_VERDICT_H_
#define CORE_VERDICT_H_

#include <string_view>

namespace comfreyfold {

// Whether a request may have run at its backend server. The order matters:
// a later verdict never becomes an earlier one.
enum class Verdict {
  kNotRun = 0,      // Certainly did not run and will not.
  kMayHaveRun = 1,  // Unknown: a repeat could be a second run.
  kRan = 2,         // Certainly ran, and its answer is known.
};

// The verdict as callers see it: "not_run", "may_have_run" or "ran".
std::string_view ToString(Verdict verdict);

}  // namespace comfreyfold

#endif  // CORE_VERDICT_H_
