#include "core/retry_budget.h"

#include <algorithm>

namespace comfreyfold {

namespace {
// Of the requests sent: about what one slow disk of three needs until it is
// known to have failed.
constexpr double kShare = 0.2;
}  // namespace

void RetryBudget::Sent() {
  saved_ = std::min(kMost, saved_ + kShare);
}

bool RetryBudget::Take() {
  if (saved_ < 1) {
    return false;
  }
  saved_ -= 1;
  return true;
}

}  // namespace comfreyfold
