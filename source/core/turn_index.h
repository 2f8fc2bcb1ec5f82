#ifndef CORE_TURN_INDEX_H_
#define CORE_TURN_INDEX_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/turn_record.h"

namespace comfreyfold {

// The turns that one daemon holds, by their ids, each with the number of the
// log segment that has it on disk.
class TurnIndex {
 public:
  // False when the turn is held already.
  bool Put(TurnRecord record, std::int64_t segment = 0);
  const TurnRecord* Find(const std::string& id) const;

  // The turn `id` and those before it, the newest first, as far as they are
  // held here.
  std::vector<const TurnRecord*> Chain(const std::string& id) const;

  // Keeps the turns longer.
  void ExtendExpiry(const std::vector<std::string>& ids,
                    std::chrono::milliseconds until);

  // Forgets what has expired, oldest first, and what exceeds `most_bytes`
  // when that is not 0.
  void Expire(std::chrono::milliseconds now, std::size_t most_bytes = 0);

  bool UsesSegment(std::int64_t segment) const {
    return segments_.count(segment) > 0;
  }
  std::vector<std::string> Ids() const;
  std::size_t size() const { return turns_.size(); }
  std::size_t bytes() const { return bytes_; }

 private:
  struct Held {
    TurnRecord record;
    std::int64_t segment = 0;
  };

  void Erase(const std::string& id);

  std::unordered_map<std::string, Held> turns_;
  std::multimap<std::chrono::milliseconds, std::string> by_expiry_;
  std::map<std::int64_t, std::size_t> segments_;  // Turns in each.
  std::size_t bytes_ = 0;
};

}  // namespace comfreyfold

#endif  // CORE_TURN_INDEX_H_
