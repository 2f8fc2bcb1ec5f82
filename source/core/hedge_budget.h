#ifndef CORE_HEDGE_BUDGET_H_
#define CORE_HEDGE_BUDGET_H_

namespace comfreyfold {

// Limits requests that are repeated, at another replica, by another relay or at
// the same one, because a response is slow or missing, to a share of all
// requests. That suffices for one slow replica. When all replicas are slow for
// lack of CPU time, more requests would only slow them further.
class HedgeBudget {
 public:
  // Records that a request is sent for the first time.
  void OnRequestSent();
  // Returns whether a hedged request may be sent, and charges it to the budget.
  bool TrySpend();
  // The same for a request without which a call would wait in vain. A part of
  // the budget is kept for these.
  bool TrySpendReserve();

 private:
  static constexpr double kMaxBalance = 20;  // In requests.

  double balance_ = kMaxBalance;
};

}  // namespace comfreyfold

#endif  // CORE_HEDGE_BUDGET_H_
