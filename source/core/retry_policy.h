#ifndef CORE_RETRY_POLICY_H_
#define CORE_RETRY_POLICY_H_

#include <chrono>
#include <optional>

#include "core/decision_settings.h"
#include "core/verdict.h"

namespace comfreyfold {

// A call whose dispatch failed.
struct RetryRequest {
  Verdict verdict = Verdict::kNotRun;
  bool idempotent = false;
  int attempts_made = 1;
  int attempts_allowed = 1;  // For idempotent calls, by the contract.
  std::chrono::milliseconds time_left{};  // Until the call's deadline.
};

// Decides whether a failed call is retried. Retries are limited to a share of
// the first attempts, so that the failure of many servers does not multiply the
// load on the others.
class RetryPolicy {
 public:
  explicit RetryPolicy(const DecisionSettings& settings);

  // Records a first attempt, which adds to the retry budget.
  void ObserveCall();

  // Returns the delay before the next attempt and charges it to the budget, or
  // none when the call must not be retried.
  std::optional<std::chrono::milliseconds> Next(const RetryRequest& request);

  double budget() const { return budget_; }

 private:
  const DecisionSettings& settings_;
  double budget_;
};

}  // namespace comfreyfold

#endif  // CORE_RETRY_POLICY_H_
