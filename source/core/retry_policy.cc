#include "core/retry_policy.h"

#include <algorithm>

namespace comfreyfold {

namespace {

using std::chrono::milliseconds;

constexpr double kMaxBudget = 10;  // In retries.
constexpr int kMinNotRunAttempts = 3;
constexpr milliseconds kFirstBackoff{10};
constexpr int kMaxDoublings = 6;

}  // namespace

RetryPolicy::RetryPolicy(const DecisionSettings& settings)
    : settings_(settings), budget_(kMaxBudget) {}

void RetryPolicy::ObserveCall() {
  budget_ = std::min(kMaxBudget, budget_ + settings_.retry_ratio);
}

std::optional<milliseconds> RetryPolicy::Next(const RetryRequest& request) {
  // A call that did not run may always be retried. A call that may have run is
  // retried only when its contract declares it idempotent.
  const bool not_run = request.verdict == Verdict::kNotRun;
  const bool repeatable =
      request.idempotent && request.verdict == Verdict::kMayHaveRun;
  const int allowed =
      not_run ? std::max(kMinNotRunAttempts, request.attempts_allowed)
              : request.attempts_allowed;
  const int doublings = std::clamp(request.attempts_made - 1, 0, kMaxDoublings);
  const auto backoff = kFirstBackoff * (1 << doublings);
  if ((!not_run && !repeatable) || request.attempts_made >= allowed ||
      backoff >= request.time_left || budget_ < 1) {
    return std::nullopt;
  }
  budget_ -= 1;
  return backoff;
}

}  // namespace comfreyfold
