#ifndef STANDINS_SLOT_QUEUE_H_
#define STANDINS_SLOT_QUEUE_H_

#include <cstdint>
#include <set>
#include <utility>

#include "net/loop.h"

namespace comfreyfold::standins {

// Limits the number of turns that an engine runs at the same time. Waiting
// turns get slots by priority, highest first, and within a priority in order of
// arrival.
class SlotQueue {
 public:
  SlotQueue(Loop& loop, int slots) : slots_(slots), changed_(loop) {}

  void Acquire(Fiber& fiber, int priority);
  void Release();

  int running() const { return running_; }
  // Returns the highest number of turns that ran at the same time.
  int max_running() const { return max_running_; }
  int waiting() const { return static_cast<int>(queue_.size()); }
  int slots() const { return slots_; }

 private:
  int slots_;
  int running_ = 0;
  int max_running_ = 0;
  std::int64_t next_ticket_ = 1;
  std::set<std::pair<int, std::int64_t>> queue_;  // Negated priority, ticket.
  Condition changed_;
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_SLOT_QUEUE_H_
