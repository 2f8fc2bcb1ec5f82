#include "core/admission_control.h"

#include <algorithm>

namespace comfreyfold {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Calls of a program that has begun may wait longer, because a refusal wastes
// the work already done for it.
constexpr int kBegunProgramFactor = 4;

}  // namespace

AdmissionDecision AdmissionControl::Decide(
    const AdmissionRequest& request) const {
  AdmissionDecision out;
  const int weight = std::max(1, request.weight);
  const int total_weight = std::max(weight, request.active_weight);
  const double slots =
      static_cast<double>(std::max(1, request.slots)) * weight / total_weight;
  out.expected_wait = milliseconds(static_cast<std::int64_t>(
      static_cast<double>(
          duration_cast<milliseconds>(request.backlog).count()) /
      slots));
  if (!settings_.refuse_early) {
    return out;
  }
  const auto limit = request.first_call
                         ? settings_.queue_limit
                         : settings_.queue_limit * kBegunProgramFactor;
  const auto cost = duration_cast<milliseconds>(request.cost);
  const bool in_time = request.time_left == milliseconds::zero() ||
                       out.expected_wait + cost < request.time_left;
  out.accepted = in_time && out.expected_wait <= limit;
  if (!out.accepted) {
    out.retry_after = std::max(out.expected_wait - limit, limit / 4);
  }
  return out;
}

}  // namespace comfreyfold
