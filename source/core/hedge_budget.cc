#include "core/hedge_budget.h"

#include <algorithm>

namespace comfreyfold {

namespace {
// Of the requests sent: about what one slow disk of three needs until it is
// known to have failed.
constexpr double kShare = 0.2;
}  // namespace

void HedgeBudget::OnRequestSent() {
  saved_ = std::min(kMost, saved_ + kShare);
}

bool HedgeBudget::TrySpend() {
  if (saved_ < 1) {
    return false;
  }
  saved_ -= 1;
  return true;
}

}  // namespace comfreyfold
