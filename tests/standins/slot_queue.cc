#include "standins/slot_queue.h"

#include <algorithm>

namespace comfreyfold::standins {

namespace {
constexpr std::chrono::hours kLongWait{1};
}  // namespace

void SlotQueue::Acquire(Fiber& fiber, int priority) {
  const std::pair ticket(-priority, next_ticket_++);
  queue_.insert(ticket);
  changed_.WaitUntil(fiber, kLongWait, [this, &ticket] {
    return running_ < slots_ && *queue_.begin() == ticket;
  });
  queue_.erase(ticket);
  ++running_;
  most_running_ = std::max(most_running_, running_);
  changed_.NotifyAll();
}

void SlotQueue::Release() {
  --running_;
  changed_.NotifyAll();
}

}  // namespace comfreyfold::standins
