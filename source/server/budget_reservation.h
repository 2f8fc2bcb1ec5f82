#ifndef SERVER_BUDGET_RESERVATION_H_
#define SERVER_BUDGET_RESERVATION_H_

#include <cstdint>
#include <functional>
#include <utility>

namespace comfreyfold {

// The most tokens that one call may use, reserved from its customer's budget
// while the call is in flight.
class BudgetReservation {
 public:
  using SettleHook =
      std::function<void(std::int64_t reserved, std::int64_t used)>;

  BudgetReservation() = default;
  BudgetReservation(std::int64_t tokens, SettleHook settle)
      : tokens_(tokens), settle_(std::move(settle)) {}
  ~BudgetReservation() {
    // A call that was dispatched but not settled may have used all of its
    // tokens.
    Settle(dispatched_ ? tokens_ : 0);
  }
  BudgetReservation(BudgetReservation&& other) noexcept { Swap(other); }
  BudgetReservation& operator=(BudgetReservation&& other) noexcept {
    Swap(other);
    return *this;
  }

  // Records that the call is being sent to an engine.
  void MarkDispatched() { dispatched_ = true; }

  // Ends the reservation with `used` tokens used. Only the first call counts.
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
