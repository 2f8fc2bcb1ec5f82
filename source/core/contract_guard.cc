#include "core/contract_guard.h"

#include <algorithm>

namespace comfreyfold {

void ContractGuard::Tick(TimePoint now) {
  if (last_tick_ && now - *last_tick_ > freeze_gap_) {
    woke_at_ = now;
  }
  last_tick_ = now;
}

void ContractGuard::ObserveRevision(std::int64_t revision, TimePoint now) {
  heard_of_ = std::max(heard_of_, revision);
  if (heard_of_ > confirmed_ && !behind_since_) {
    behind_since_ = now;
  }
}

void ContractGuard::Confirm(std::int64_t revision, TimePoint asked_at) {
  confirmed_ = std::max(confirmed_, revision);
  if (confirmed_ >= heard_of_) {
    behind_since_.reset();
  }
  // An answer to a question put before the freeze may be as old as that.
  if (woke_at_ && asked_at >= *woke_at_) {
    woke_at_.reset();
  }
}

ContractGuard::Decision ContractGuard::Evaluate(TimePoint now) {
  // Requests may be handled before the timer that ticks.
  Tick(now);
  const bool too_far_behind = behind_since_ && now - *behind_since_ >= grace_;
  return woke_at_ || too_far_behind ? Decision::kReloadFirst : Decision::kServe;
}

}  // namespace comfreyfold
