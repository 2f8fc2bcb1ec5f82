#ifndef STORAGE_UNWRITTEN_RECORDS_H_
#define STORAGE_UNWRITTEN_RECORDS_H_

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/turn_index.h"
#include "wire/storage_messages.h"

namespace comfreyfold {

// The records that a disk knows but does not hold, because writing them failed.
class UnwrittenRecords {
 public:
  // What a write contains, without the content of its turns.
  struct Summary {
    // Ids and expiries of the turns, and of those whose expiry is extended.
    std::vector<std::pair<std::string, std::chrono::milliseconds>> turns;
    std::vector<std::pair<std::string, std::chrono::milliseconds>> extended;
    std::vector<TokenUse> uses;
  };
  static Summary SummaryOf(const StorageRequest& request);

  // Takes in the records of a write that failed.
  void Add(const Summary& failed);
  // Drops the records that a later write has brought to the disk; `turns` tells
  // which turns the disk holds.
  void Remove(const Summary& written, const TurnIndex& turns);
  // Drops the records that `turns` and `tokens` no longer have.
  void DropExpired(const TurnIndex& turns, const TokenLedgers& tokens);

  bool empty() const { return turns_.empty() && uses_.empty(); }
  bool HasTurn(const std::string& id) const { return turns_.count(id) > 0; }

  // Returns a request to store records that are still unwritten; `turns` has
  // the content of those that the disk does not hold. Large ones are left for
  // the next request.
  StorageRequest NextStore(const TurnIndex& turns) const;

 private:
  // Maps the id of a turn to the expiry that was to be written.
  std::map<std::string, std::chrono::milliseconds> turns_;
  // By program and request.
  std::map<std::pair<std::string, std::string>, TokenUse> uses_;
};

}  // namespace comfreyfold

#endif  // STORAGE_UNWRITTEN_RECORDS_H_
