#ifndef SERVER_BUDGET_RESERVATION_H_
#define SERVER_BUDGET_RESERVATION_H_

#include <cstdint>
#include <functional>
#include <utility>

namespace comfreyfold {

// The tokens one call may use at most, taken from its customer's budget
// for as long as the call is in flight.
class BudgetReservation {
 public:
  using SettleHook =
      std::function<void(std::int64_t reserved, std::int64_t used)>;

  BudgetReservation() = default;
  BudgetReservation(std::int64_t tokens, SettleHook settle)
      : tokens_(tokens), settle_(std::move(settle)) {}
  ~BudgetReservation() {
    // What was dispatched and never settled may have used all of it.
    Settle(dispatched_ ? tokens_ : 0);
  }
  BudgetReservation(BudgetReservation&& other) noexcept { Swap(other); }
  BudgetReservation& operator=(BudgetReservation&& other) noexcept {
    Swap(other);
    return *this;
  }

  // The call goes to an engine now.
  void MarkDispatched() { dispatched_ = true; }

  // The call used `used` tokens. Only the first settlement counts.
  void Settle(std::int64_t used) {
    if (const auto settle = std::exchange(settle_, nullptr)) {
      settle(tokens_, used);
    }
  }

  std::int64_t tokens() const { return tokens_; }

 private:
  void Swap(BudgetReservation& other) noexcept {
    std::swap(tokens_, other.tokens_);
    std::swap(dispatched_, other.dispatched_);
    settle_.swap(other.settle_);
  }

  std::int64_t tokens_ = 0;
  bool dispatched_ = false;
  SettleHook settle_;
};

}  // namespace comfreyfold

#endif  // SERVER_BUDGET_RESERVATION_H_
