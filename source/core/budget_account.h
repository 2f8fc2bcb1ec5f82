#ifndef CORE_BUDGET_ACCOUNT_H_
#define CORE_BUDGET_ACCOUNT_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "core/budget_record.h"

namespace comfreyfold {

// The budget that the contract in force allows in the current period.
struct BudgetTerms {
  std::int64_t tokens = 0;
  std::chrono::seconds period_start{};

  bool operator==(const BudgetTerms&) const = default;
};

// One daemon's share of one customer's budget, managed as escrow: the daemon
// obtains a grant from the shared BudgetRecord, each call reserves the most
// it can use from that grant and is settled with its actual use. The class
// reads no clock and performs no input or output.
class BudgetAccount {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // `run` uniquely identifies this run of the daemon process.
  BudgetAccount(std::string daemon, std::string run);

  // Sets the terms of the contract in force. Must be called before each
  // reservation.
  void SetTerms(const BudgetTerms& terms);

  // Reserves `tokens` from the grant. Returns false when fewer are available
  // or when the record has to be rewritten first (see SetTerms and
  // MarkUnconfirmed).
  bool TryReserve(std::int64_t tokens, TimePoint now);

  // True when calls in flight must be settled before `tokens` are reserved.
  // Reservations of a daemon that dies stay counted as spent, so they are
  // limited to a small fraction of the budget.
  bool MustWait(std::int64_t tokens) const;

  // Ends a reservation of `reserved` tokens, of which `used` were used.
  void Settle(std::int64_t reserved, std::int64_t used);

  // Changes `record` so that `need` more tokens can be reserved. Returns
  // false when the budget does not allow it; `record` must not be written
  // then.
  bool Refill(BudgetRecord& record, std::int64_t need, TimePoint now);

  // Blocks reservations from the grant until the record has been rewritten.
  // Called when this daemon takes over a lane: while it was considered dead,
  // other daemons may have closed its grant.
  void MarkUnconfirmed();

  // Changes `record` so that the grant keeps only what is reserved; without
  // reservations the grant is removed.
  void GiveBack(BudgetRecord& record);

  // Must be called before a changed record is sent. From then on the
  // key-value service may hold it, so no more is reserved than it allows.
  void WriteStarted(BudgetRecord& record);

  // Called once the write of `record` is confirmed.
  void WriteDone(BudgetRecord& record);

  std::int64_t available() const { return granted_ - used_ - reserved_; }
  std::int64_t reserved() const { return reserved_; }
  std::int64_t used() const { return used_; }
  bool holds_grant() const { return holds_grant_; }
  const BudgetTerms& terms() const { return terms_; }
  // True when the grant should be extended before it is used up: during an
  // outage of the service, calls can use only what was granted before.
  bool ShouldRefill() const;

  // Called when another daemon could not obtain the tokens it needed.
  void MarkScarce() { scarce_ = true; }

  // True when the grant must be given back: the contract was lowered, or
  // there is no reservation and the last one was made before `idle_cutoff`,
  // or before `scarce_idle_cutoff` when the budget is scarce.
  bool MustGiveBack(TimePoint scarce_idle_cutoff, TimePoint idle_cutoff) const;

 private:
  std::int64_t NextChunkSize(std::int64_t room,
                             std::size_t holders,
                             TimePoint now);

  std::string daemon_;
  std::string run_;
  BudgetTerms terms_;
  // Lower bound of what the record in the service grants to this run.
  std::int64_t granted_ = 0;
  std::int64_t used_ = 0;      // Since the run began.
  std::int64_t reserved_ = 0;  // By calls in flight.
  // Whether the record in the service may contain a grant of this run.
  bool holds_grant_ = false;
  // Whether the budget was lowered after the record was written.
  bool lowered_ = false;
  // Number of calls of MarkUnconfirmed: all, those before the last confirmed
  // write began, and those before the newest write began.
  std::int64_t unconfirmed_marks_ = 0;
  std::int64_t marks_at_confirmed_write_ = 0;
  std::int64_t marks_at_newest_write_ = 0;
  std::int64_t budget_at_write_ = 0;  // Budget when the newest write began.
  // Whether more than half of the budget is spent or granted, or another
  // daemon could not obtain tokens.
  bool scarce_ = false;
  std::int64_t chunk_;  // Current chunk size of refills, in tokens.
  TimePoint last_refill_;
  TimePoint last_use_;
};

}  // namespace comfreyfold

#endif  // CORE_BUDGET_ACCOUNT_H_
