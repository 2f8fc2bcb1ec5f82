#ifndef CORE_HEDGE_BUDGET_H_
#define CORE_HEDGE_BUDGET_H_

namespace comfreyfold {

// Bounds requests that are sent once more because an answer is slow: a share of
// all requests. One slow replica is helped out; when all are slow for want of
// processor time, further requests would make them slower still.
class HedgeBudget {
 public:
  // A request is sent for the first time.
  void OnRequestSent();
  // Whether one may be sent once more; uses up a part of the budget.
  bool TrySpend();

 private:
  static constexpr double kMost = 20;  // Saved up, in requests.

  double saved_ = kMost;
};

}  // namespace comfreyfold

#endif  // CORE_HEDGE_BUDGET_H_
