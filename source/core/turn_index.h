#ifndef CORE_TURN_INDEX_H_
#define CORE_TURN_INDEX_H_

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/log_position.h"
#include "core/turn_record.h"

namespace comfreyfold {

// The turns that one daemon stores, by id, each with the number of the log
// segment that contains it on disk. Contents that the log holds can be dropped
// from memory; the records found here then have neither input nor output.
class TurnIndex {
 public:
  // Memory that a turn takes beside its content, for the index itself.
  static constexpr std::size_t kEntryBytes = 512;

  // Adds a turn. Returns false if the turn is already stored; its content then
  // stays unchanged and only its expiry may be extended. Nor is a turn added
  // that would be its own ancestor.
  bool Put(TurnRecord record, std::int64_t segment = 0);
  const TurnRecord* Find(const std::string& id) const;

  // Takes over that the log holds the turn at `position`, unless it is known to
  // hold it elsewhere.
  void MarkStored(const std::string& id, const LogPosition& position);
  // Takes over that the log holds the turn at `position` as well, whose place
  // was known before, and that this copy counts.
  void Move(const std::string& id, const LogPosition& position);
  // Whether the log is known to hold the turn.
  bool IsStored(const std::string& id) const;
  // Drops contents that the log holds, those stored first first, until
  // memory_bytes() is at most `max_bytes` or all are dropped.
  void DropContents(std::size_t max_bytes);
  // Bytes of a turn, whether its content is in memory or not; 0 if unknown.
  std::size_t BytesOf(const std::string& id) const;
  // Returns where the log holds the turn, if its content was dropped.
  std::optional<LogPosition> PositionOfDropped(const std::string& id) const;

  // Returns the turn `id` and its predecessors, newest first, up to the first
  // one that is not stored here.
  std::vector<const TurnRecord*> Chain(const std::string& id) const;

  // Extends the expiry of the turns to `until` where it is earlier.
  void ExtendExpiry(const std::vector<std::string>& ids,
                    std::chrono::milliseconds until);

  // Removes the turns that have expired. If `max_bytes` is not 0, also removes
  // those that expire first until no more than `max_bytes` are stored.
  void Expire(std::chrono::milliseconds now, std::size_t max_bytes = 0);

  // Returns when turns of `bytes` in all will have expired, or all if there are
  // fewer; 0 if there is none.
  std::chrono::milliseconds ExpiryOf(std::size_t bytes) const;

  // True if a turn of the log segment is still stored.
  bool UsesSegment(std::int64_t segment) const {
    return segments_.count(segment) > 0;
  }
  // Bytes of the turns in each segment that the log is known to hold.
  std::map<std::int64_t, std::int64_t> StoredBytesBySegment() const;
  // Returns the turns in the segment that the log is known to hold.
  std::vector<std::string> StoredIn(std::int64_t segment) const;
  std::vector<std::string> Ids() const;
  // All turns, in no order. Valid until the next change.
  std::vector<const TurnRecord*> Turns() const;
  // Returns those of `ids` that are not stored here.
  std::vector<std::string> Missing(const std::vector<std::string>& ids) const;
  std::size_t size() const { return turns_.size(); }
  // Bytes of all turns, whether their contents are in memory or not.
  std::size_t bytes() const { return bytes_; }
  // Memory of the index and of the contents that are not dropped.
  std::size_t memory_bytes() const {
    return turns_.size() * kEntryBytes + content_bytes_;
  }
  // The part of memory_bytes() that DropContents() cannot drop.
  std::size_t pinned_bytes() const { return memory_bytes() - droppable_bytes_; }

 private:
  struct StoredTurn {
    TurnRecord record;
    std::int64_t segment = 0;
    std::size_t bytes = 0;
    std::optional<LogPosition> position;  // If the log is known to hold it.
    bool dropped = false;
    // In `droppable_`, if stored and not dropped.
    std::list<const std::string*>::iterator droppable{};
  };

  // Whether the turn `id` is `ancestor` or follows it, as far as is stored
  // here.
  bool Descends(const std::string& id, const std::string& ancestor) const;
  void Erase(const std::string& id);
  void LeaveSegment(std::int64_t segment);

  std::unordered_map<std::string, StoredTurn> turns_;
  std::multimap<std::chrono::milliseconds, std::string> by_expiry_;
  std::map<std::int64_t, std::size_t> segments_;  // Turn count by segment.
  std::size_t bytes_ = 0;
  std::size_t content_bytes_ = 0;    // In memory.
  std::size_t droppable_bytes_ = 0;  // The part that the log holds.
  // Ids of the turns whose contents may be dropped, those stored first first.
  std::list<const std::string*> droppable_;
};

}  // namespace comfreyfold

#endif  // CORE_TURN_INDEX_H_
