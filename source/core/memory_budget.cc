#include "core/memory_budget.h"

namespace comfreyfold {

bool MemoryBudget::TryTake(std::size_t bytes) {
  if (limit_ > 0 && (used_ > limit_ || bytes > limit_ - used_)) {
    return false;
  }
  used_ += bytes;
  return true;
}

bool MemoryReservation::Grow(std::size_t bytes) {
  if (!budget_->TryTake(bytes)) {
    return false;
  }
  bytes_ += bytes;
  return true;
}

}  // namespace comfreyfold
