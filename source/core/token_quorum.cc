#include "core/token_quorum.h"

#include <algorithm>

namespace comfreyfold {

void TokenQuorum::AddAnswer(const std::vector<TokenUse>& uses) {
  ++answers_;
  for (const auto& it : uses) {
    ++known_answers_[it.request];
    settled_answers_[it.request] += it.settled ? 1 : 0;
    ledger_.Merge(it);
  }
}

// Any two quorums share a replica, so of two reservations at least one is
// stored second there and sees the other. If every use that a reservation sees
// was settled at each replica before the reservation was stored there, those
// uses were decided before it. Reservations decided in one round are therefore
// ordered in time. The last of them sees all others, and also all reservations
// decided in two rounds that do not see it. A use settled with zero tokens does
// not matter in any order.
bool TokenQuorum::IsDecided(const std::string& request) const {
  return std::all_of(ledger_.uses().begin(), ledger_.uses().end(),
                     [this, &request](const auto& it) {
                       const auto& use = it.second;
                       return it.first == request ||
                              (use.settled && use.tokens == 0) ||
                              settled_answers_.at(it.first) == answers_;
                     });
}

// A use without tokens doesn't matter. All uses have the same lifetime, so
// differences between expiry times equal those between start times.
std::vector<TokenUse> TokenQuorum::UsesToCopy(
    const TokenUse& use,
    std::chrono::milliseconds min_age) const {
  std::vector<TokenUse> out;
  for (const auto& [request, it] : ledger_.uses()) {
    if (request != use.request && it.tokens > 0 &&
        it.expires_at + min_age <= use.expires_at &&
        known_answers_.at(request) < answers_) {
      out.push_back(it);
    }
  }
  return out;
}

}  // namespace comfreyfold
