#ifndef CORE_BUDGET_RECORD_H_
#define CORE_BUDGET_RECORD_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace comfreyfold {

// What one run of one daemon holds of a customer's budget. The counters
// only grow while the run holds a grant, so that writing them again does
// no harm.
struct BudgetGrant {
  std::string daemon;
  std::string id;                 // Of the daemon's run.
  std::int64_t granted = 0;       // Tokens the run may use in all.
  std::int64_t used = 0;          // Tokens it has told to have used.
  std::int64_t counted_from = 0;  // Use up to here counts elsewhere.

  bool closing = false;  // Its holder is held for dead.

  // The most that this grant can add to the period's use.
  std::int64_t exposure() const { return granted - counted_from; }

  bool operator==(const BudgetGrant&) const = default;
};

// A customer's budget as the key-value service keeps it.
struct BudgetRecord {
  std::chrono::seconds period_start{};  // Since 1970.
  std::int64_t spent = 0;               // In this period, by grants given back.
  std::vector<BudgetGrant> grants;

  // The most that the period's use can come to: what was spent, and every
  // grant as if all of it were used.
  std::int64_t Committed() const;

  // Null when the run holds nothing.
  BudgetGrant* Find(const std::string& id);

  // Replaces a grant that is still marked as closing by the `tokens` that
  // its run is proved to have used since it began. False when its holder
  // has taken the mark off, or it is gone.
  bool CloseGrant(const std::string& id, std::int64_t tokens);

  // Begins the period at `start`; a start that is not later changes nothing.
  void RollOver(std::chrono::seconds start);

  bool operator==(const BudgetRecord&) const = default;
};

// The start of the period that holds `now`, both since 1970.
std::chrono::seconds PeriodStart(std::chrono::seconds now,
                                 std::chrono::seconds period);

}  // namespace comfreyfold

#endif  // CORE_BUDGET_RECORD_H_
