#ifndef CORE_TOKEN_QUORUM_H_
#define CORE_TOKEN_QUORUM_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/token_ledger.h"

namespace comfreyfold {

// Collects the token uses of a program that each replica of a quorum knew when
// it stored a reservation, and tells whether they suffice to decide on that
// reservation.
class TokenQuorum {
 public:
  // Adds the uses that one replica knew right after it stored the reservation.
  void AddAnswer(const std::vector<TokenUse>& uses);

  // True if the answers suffice to decide on the reservation of `request`.
  // Otherwise a quorum has to be read once more.
  bool IsDecided(const std::string& request) const;

  // Returns the uses that began `min_age` before `use` or earlier and that some
  // answer lacks. A replica keeps uses as long as a later one of the program
  // only if it knows that one too, so these may be lost unless they are stored
  // with `use`.
  std::vector<TokenUse> UsesToCopy(const TokenUse& use,
                                   std::chrono::milliseconds min_age) const;

  const TokenLedger& ledger() const { return ledger_; }

 private:
  TokenLedger ledger_;
  // Number of answers that contained a use, by request.
  std::map<std::string, std::size_t> known_answers_;
  // Number of answers in which a use was settled, by request.
  std::map<std::string, std::size_t> settled_answers_;
  std::size_t answers_ = 0;
};

}  // namespace comfreyfold

#endif  // CORE_TOKEN_QUORUM_H_
