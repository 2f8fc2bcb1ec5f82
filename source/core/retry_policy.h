#ifndef CORE_RETRY_POLICY_H_
#define CORE_RETRY_POLICY_H_

#include <chrono>
#include <optional>

#include "core/decision_settings.h"
#include "core/verdict.h"

namespace comfreyfold {

// A call whose dispatch has failed.
struct RetryRequest {
  Verdict verdict = Verdict::kNotRun;
  bool idempotent = false;
  int attempts_made = 1;
  int attempts_allowed = 1;          // By the contract, for idempotent calls.
  std::chrono::milliseconds left{};  // Until the call's deadline.
};

// Decides whether a failed call is tried again. Retries are bounded to a
// ratio of the first attempts, so that a fault of many servers does not
// multiply the load on the rest.
class RetryPolicy {
 public:
  explicit RetryPolicy(const DecisionSettings& settings);

  // Every first attempt earns a part of a retry.
  void ObserveCall();

  // The pause before the next attempt; none when the call has failed for
  // good. A pause returned is a retry spent.
  std::optional<std::chrono::milliseconds> Next(const RetryRequest& question);

  double budget() const { return budget_; }

 private:
  const DecisionSettings& settings_;
  double budget_;
};

}  // namespace comfreyfold

#endif  // CORE_RETRY_POLICY_H_
