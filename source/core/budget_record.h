#ifndef CORE_BUDGET_RECORD_H_
#define CORE_BUDGET_RECORD_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace comfreyfold {

// The part of a customer's budget that is granted to one run of one daemon.
// The counters never decrease while the run holds a grant, so writing them
// again is harmless.
struct BudgetGrant {
  std::string daemon;
  std::string id;            // Identifies the run of the daemon.
  std::int64_t granted = 0;  // Total tokens that the run may use.
  std::int64_t used = 0;     // Total tokens that the run reported as used.
  // Value of `used` up to which the use counts for an earlier period.
  std::int64_t counted_from = 0;

  bool closing = false;  // Whether the holder is considered dead.

  // The most that this grant can add to the use of the current period.
  std::int64_t exposure() const { return granted - counted_from; }

  bool operator==(const BudgetGrant&) const = default;
};

// A customer's budget as the key-value service keeps it.
struct BudgetRecord {
  std::chrono::seconds period_start{};  // Since the Unix epoch.
  // Tokens used in this period under grants that have been given back.
  std::int64_t spent = 0;
  std::vector<BudgetGrant> grants;

  // Upper bound of the use in this period: the tokens spent and all grants as
  // if they were used up.
  std::int64_t Committed() const;

  // Returns the grant of the run `id`, or null when it has none.
  BudgetGrant* Find(const std::string& id);

  // Removes a grant marked as closing and counts as spent the `tokens` that
  // its run is proved to have used since it began. Returns false when the
  // grant no longer exists or its holder has removed the mark.
  bool CloseGrant(const std::string& id, std::int64_t tokens);

  // Begins a new period at `start`. Has no effect unless `start` is later than
  // the start of the current period.
  void RollOver(std::chrono::seconds start);

  bool operator==(const BudgetRecord&) const = default;
};

// Returns the start of the period that contains `now`, both since the Unix
// epoch.
std::chrono::seconds PeriodStart(std::chrono::seconds now,
                                 std::chrono::seconds period);

}  // namespace comfreyfold

#endif  // CORE_BUDGET_RECORD_H_
