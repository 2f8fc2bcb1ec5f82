#include "core/retry_policy.h"

#include <algorithm>

namespace comfreyfold {

namespace {

using std::chrono::milliseconds;

constexpr double kMostSaved = 10;  // Retries that may be saved up.
constexpr int kNotRunAttempts = 3;
constexpr milliseconds kFirstPause{10};
constexpr int kMostDoublings = 6;

}  // namespace

RetryPolicy::RetryPolicy(const DecisionSettings& settings)
    : settings_(settings), budget_(kMostSaved) {}

void RetryPolicy::ObserveCall() {
  budget_ = std::min(kMostSaved, budget_ + settings_.retry_ratio);
}

std::optional<milliseconds> RetryPolicy::Next(const RetryRequest& question) {
  // What did not run may always go elsewhere; what may have run only when
  // the contract says that a repeat does no harm.
  const bool not_run = question.verdict == Verdict::kNotRun;
  const bool repeatable =
      question.idempotent && question.verdict == Verdict::kMayHaveRun;
  const int allowed = not_run
                          ? std::max(kNotRunAttempts, question.attempts_allowed)
                          : question.attempts_allowed;
  const int doublings =
      std::clamp(question.attempts_made - 1, 0, kMostDoublings);
  const auto pause = kFirstPause * (1 << doublings);
  if ((!not_run && !repeatable) || question.attempts_made >= allowed ||
      pause >= question.left || budget_ < 1) {
    return std::nullopt;
  }
  budget_ -= 1;
  return pause;
}

}  // namespace comfreyfold
