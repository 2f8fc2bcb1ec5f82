#ifndef STANDINS_SLOT_QUEUE_H_
#define STANDINS_SLOT_QUEUE_H_

#include <cstdint>
#include <set>
#include <utility>

#include "net/loop.h"

namespace comfreyfold::standins {

// The turns that an engine runs at a time; the others wait, those of higher
// priority first, and within a priority in order of arrival.
class SlotQueue {
 public:
  SlotQueue(Loop& loop, int slots) : slots_(slots), changed_(loop) {}

  void Acquire(Fiber& fiber, int priority);
  void Release();

  int running() const { return running_; }
  int most_running() const { return most_running_; }  // Since the start.
  int waiting() const { return static_cast<int>(queue_.size()); }
  int slots() const { return slots_; }

 private:
  int slots_;
  int running_ = 0;
  int most_running_ = 0;
  std::int64_t next_ticket_ = 1;
  std::set<std::pair<int, std::int64_t>> queue_;  // Falling priority, ticket.
  Condition changed_;
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_SLOT_QUEUE_H_
