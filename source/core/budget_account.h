#ifndef CORE_BUDGET_ACCOUNT_H_
#define CORE_BUDGET_ACCOUNT_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "core/budget_record.h"

namespace comfreyfold {

// What the contract in force says about a budget now.
struct BudgetTerms {
  std::int64_t tokens = 0;
  std::chrono::seconds period_start{};

  bool operator==(const BudgetTerms&) const = default;
};

// One daemon's part of one customer's budget (escrow): calls reserve their
// worst case from the grant and settle with what they used. No clock, no
// input or output.
class BudgetAccount {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // `run` names this run of the daemon and no other.
  BudgetAccount(std::string daemon, std::string run);

  // Takes the contract in force into account; call before each reserve.
  void SetTerms(const BudgetTerms& terms);

  // Takes `tokens` from the grant; false when it does not hold as much.
  bool TryReserve(std::int64_t tokens, TimePoint now);

  // True when calls in flight must settle first: what a death would leave
  // counted as spent stays a small part of the budget.
  bool MustWait(std::int64_t tokens) const;

  // Ends a reservation of `reserved` tokens of which `used` were used.
  void Settle(std::int64_t reserved, std::int64_t used);

  // Rewrites `record` so that `need` more can be reserved. False, with
  // `record` of no use, when the budget does not allow it.
  bool Refill(BudgetRecord& record, std::int64_t need, TimePoint now);

  // A lane was taken: the grant may have been given back by others while
  // this daemon was held for dead, so nothing is reserved before the record
  // has been rewritten.
  void MarkUnconfirmed();

  // Rewrites `record` without what is not reserved.
  void GiveBack(BudgetRecord& record);

  // A rewritten record is about to be sent: from here on it may be the one
  // in the service, so no more may be reserved than it allows.
  void WriteStarted(BudgetRecord& record);

  // The record is known to be the newest in the service.
  void WriteDone(BudgetRecord& record);

  std::int64_t available() const { return granted_ - used_ - reserved_; }
  std::int64_t reserved() const { return reserved_; }
  std::int64_t used() const { return used_; }
  bool holds_grant() const { return holds_grant_; }
  const BudgetTerms& terms() const { return terms_; }
  // True when the grant should grow before it is used up: a call that comes
  // while the service is out has only what is granted by then.
  bool ShouldRefill() const;

  // Another daemon could not get what it needed of the budget.
  void MarkScarce() { scarce_ = true; }

  // True when the grant is due back: the contract was lowered, or nobody
  // reserved since `idle_since` and the budget is scarce, or since
  // `forgotten_since`.
  bool MustGiveBack(TimePoint idle_since, TimePoint forgotten_since) const;

 private:
  std::int64_t NextChunk(std::int64_t room, std::size_t holders, TimePoint now);

  std::string daemon_;
  std::string run_;
  BudgetTerms terms_;
  std::int64_t granted_ = 0;        // The least that the service may have.
  std::int64_t used_ = 0;           // Since the run began.
  std::int64_t reserved_ = 0;       // By calls in flight.
  bool holds_grant_ = false;        // The record may have one of this run.
  bool lowered_ = false;            // The record may grant more than it should.
  std::int64_t distrusted_ = 0;     // Times that MarkUnconfirmed was called.
  std::int64_t confirmed_at_ = 0;   // Of these, before the last write done.
  std::int64_t writing_at_ = 0;     // Of these, before the write under way.
  std::int64_t written_under_ = 0;  // The budget when the record was written.
  bool scarce_ = false;  // More than half of the budget is spent or granted.
  std::int64_t chunk_;
  TimePoint last_refill_;
  TimePoint last_use_;
};

}  // namespace comfreyfold

#endif  // CORE_BUDGET_ACCOUNT_H_
