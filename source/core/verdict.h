#ifndef CORE_VERDICT_H_
#define CORE_VERDICT_H_

#include <string_view>

namespace comfreyfold {

// Whether a request ran at its backend server. The order matters: a verdict
// never changes to an earlier one.
enum class Verdict {
  kNotRun = 0,      // The request did not run and will not.
  kMayHaveRun = 1,  // Unknown; a repeat could be a second run.
  kRan = 2,         // The request ran, and its answer is known.
};

// Returns the verdict as reported to callers: "not_run", "may_have_run" or
// "ran".
std::string_view ToString(Verdict verdict);

}  // namespace comfreyfold

#endif  // CORE_VERDICT_H_
