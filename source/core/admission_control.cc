#include "core/admission_control.h"

#include <algorithm>

namespace comfreyfold {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// A program under way has work behind it that a refusal would waste.
constexpr int kUnderWayFactor = 4;

}  // namespace

AdmissionDecision AdmissionControl::Decide(
    const AdmissionRequest& question) const {
  AdmissionDecision out;
  const int weight = std::max(1, question.weight);
  const int active = std::max(weight, question.active_weight);
  const double slots =
      static_cast<double>(std::max(1, question.slots)) * weight / active;
  out.expected_wait = milliseconds(static_cast<std::int64_t>(
      static_cast<double>(
          duration_cast<milliseconds>(question.backlog).count()) /
      slots));
  if (!settings_.refuse_early) {
    return out;
  }
  const auto limit = question.first_call
                         ? settings_.queue_limit
                         : settings_.queue_limit * kUnderWayFactor;
  const auto cost = duration_cast<milliseconds>(question.cost);
  const bool in_time = question.left == milliseconds::zero() ||
                       out.expected_wait + cost < question.left;
  out.accepted = in_time && out.expected_wait <= limit;
  if (!out.accepted) {
    out.retry_after = std::max(out.expected_wait - limit, limit / 4);
  }
  return out;
}

}  // namespace comfreyfold
