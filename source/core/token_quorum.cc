#include "core/token_quorum.h"

#include <algorithm>

namespace comfreyfold {

void TokenQuorum::AddAnswer(const std::vector<TokenUse>& uses) {
  ++answers_;
  for (const auto& it : uses) {
    settled_at_[it.request] += it.settled ? 1 : 0;
    ledger_.Merge(it);
  }
}

// Of two reservations at least one is stored second at a replica that both
// quorums share, and sees the other. If all that a reservation sees was settled
// at every replica before it was stored there, those others were decided before
// it: reservations that decide in one round follow each other in time, and the
// last of them sees all the others and all that were decided in two rounds and
// do not see it. What is settled at nothing takes no tokens in any order.
bool TokenQuorum::IsDecided(const std::string& request) const {
  return std::all_of(ledger_.uses().begin(), ledger_.uses().end(),
                     [this, &request](const auto& it) {
                       const auto& use = it.second;
                       return it.first == request ||
                              (use.settled && use.tokens == 0) ||
                              settled_at_.at(it.first) == answers_;
                     });
}

}  // namespace comfreyfold
