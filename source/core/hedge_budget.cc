#include "core/hedge_budget.h"

#include <algorithm>

namespace comfreyfold {

namespace {
// Hedged requests per request: about what one slow disk of three needs until
// its failure is detected.
constexpr double kHedgeRatio = 0.2;
// Requests kept for calls that would wait in vain: about those that wait for
// one disk when it dies.
constexpr double kReserve = 8;
}  // namespace

void HedgeBudget::OnRequestSent() {
  balance_ = std::min(kMaxBalance, balance_ + kHedgeRatio);
}

bool HedgeBudget::TrySpend() {
  return balance_ >= kReserve + 1 && TrySpendReserve();
}

bool HedgeBudget::TrySpendReserve() {
  if (balance_ < 1) {
    return false;
  }
  balance_ -= 1;
  return true;
}

}  // namespace comfreyfold
