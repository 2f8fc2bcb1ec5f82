#include "core/verdict.h"

namespace comfreyfold {

std::string_view ToString(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not_run";
    case Verdict::kMayHaveRun:
      return "may_have_run";
    case Verdict::kRan:
      return "ran";
  }
  return "may_have_run";
}

}  // namespace comfreyfold
