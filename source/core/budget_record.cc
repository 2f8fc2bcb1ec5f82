#include "core/budget_record.h"

#include <algorithm>

namespace comfreyfold {

std::int64_t BudgetRecord::Committed() const {
  std::int64_t out = spent;
  for (const auto& it : grants) {
    out += it.exposure();
  }
  return out;
}

BudgetGrant* BudgetRecord::Find(const std::string& id) {
  const auto it =
      std::find_if(grants.begin(), grants.end(),
                   [&id](const BudgetGrant& grant) { return grant.id == id; });
  return it == grants.end() ? nullptr : &*it;
}

bool BudgetRecord::CloseGrant(const std::string& id, std::int64_t tokens) {
  const auto* grant = Find(id);
  if (grant == nullptr || !grant->closing) {
    return false;
  }
  spent += std::max(tokens, grant->used) - grant->counted_from;
  std::erase_if(grants, [&id](const BudgetGrant& it) { return it.id == id; });
  return true;
}

void BudgetRecord::RollOver(std::chrono::seconds start) {
  // A daemon whose clock is behind, or a contract whose period was extended,
  // must not reopen a period that has ended.
  if (start <= period_start) {
    return;
  }
  period_start = start;
  spent = 0;
  // Daemons may use the rest of their grants in the new period, so it counts
  // there. Only the use reported so far belongs to the old period.
  for (auto& it : grants) {
    it.counted_from = it.used;
  }
  std::erase_if(grants,
                [](const BudgetGrant& it) { return it.exposure() == 0; });
}

std::chrono::seconds PeriodStart(std::chrono::seconds now,
                                 std::chrono::seconds period) {
  return now - now % period;
}

}  // namespace comfreyfold
