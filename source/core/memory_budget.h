#ifndef CORE_MEMORY_BUDGET_H_
#define CORE_MEMORY_BUDGET_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace comfreyfold {

// Bytes that the bodies of all requests of a daemon may occupy together.
class MemoryBudget {
 public:
  // `limit` in bytes; 0: none.
  explicit MemoryBudget(std::size_t limit) : limit_(limit) {}

  // Takes `bytes`, unless they exceed what is left. Returns whether it did.
  bool TryTake(std::size_t bytes);
  void GiveBack(std::size_t bytes) { used_ -= bytes; }

  std::size_t used() const { return used_; }
  // Whether half of it or more is taken. What is left then is for requests
  // under way that need more as they go on.
  bool half_used() const { return limit_ > 0 && used_ >= limit_ / 2; }

 private:
  std::size_t limit_;
  std::size_t used_ = 0;
};

// What one request has taken of a budget; given back by the destructor, which
// may run after the owner of the budget is gone.
class MemoryReservation {
 public:
  explicit MemoryReservation(std::shared_ptr<MemoryBudget> budget)
      : budget_(std::move(budget)) {}
  ~MemoryReservation() { budget_->GiveBack(bytes_); }
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;

  // Takes `bytes` more. Returns false, and takes nothing, if the budget does
  // not have them.
  bool Grow(std::size_t bytes);

 private:
  std::shared_ptr<MemoryBudget> budget_;
  std::size_t bytes_ = 0;
};

}  // namespace comfreyfold

#endif  // CORE_MEMORY_BUDGET_H_
