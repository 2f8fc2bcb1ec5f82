#ifndef CORE_TOKEN_QUORUM_H_
#define CORE_TOKEN_QUORUM_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/token_ledger.h"

namespace comfreyfold {

// What the replicas of a quorum knew of a program at the moment at which each
// of them stored a reservation, and whether that is enough to decide on it.
class TokenQuorum {
 public:
  // Uses that one replica knew right after it stored the reservation.
  void AddAnswer(const std::vector<TokenUse>& uses);

  // Whether these answers decide on the reservation of `request`. Otherwise a
  // quorum has to be read once more.
  bool IsDecided(const std::string& request) const;

  const TokenLedger& ledger() const { return ledger_; }

 private:
  TokenLedger ledger_;
  std::map<std::string, std::size_t> settled_at_;  // Answers, by request.
  std::size_t answers_ = 0;
};

}  // namespace comfreyfold

#endif  // CORE_TOKEN_QUORUM_H_
