#include "core/contract_guard.h"

#include <algorithm>

namespace comfreyfold {

void ContractGuard::Tick(TimePoint now) {
  if (last_tick_ && now - *last_tick_ > freeze_gap_) {
    resumed_at_ = now;
  }
  last_tick_ = now;
}

void ContractGuard::ObserveRevision(std::int64_t revision, TimePoint now) {
  newest_known_ = std::max(newest_known_, revision);
  if (newest_known_ > confirmed_ && !outdated_since_) {
    outdated_since_ = now;
  }
}

void ContractGuard::Confirm(std::int64_t revision, TimePoint asked_at) {
  confirmed_ = std::max(confirmed_, revision);
  if (confirmed_ >= newest_known_) {
    outdated_since_.reset();
  }
  // An answer to a request sent before the freeze may be as old as that
  // request.
  if (resumed_at_ && asked_at >= *resumed_at_) {
    resumed_at_.reset();
  }
}

ContractGuard::Decision ContractGuard::Evaluate(TimePoint now) {
  // After a freeze, a request may be handled before the timer that calls
  // Tick.
  Tick(now);
  const bool grace_expired =
      outdated_since_ && now - *outdated_since_ >= grace_;
  return resumed_at_ || grace_expired ? Decision::kReloadFirst
                                      : Decision::kServe;
}

}  // namespace comfreyfold
