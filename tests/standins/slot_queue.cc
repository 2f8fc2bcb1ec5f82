#include "standins/slot_queue.h"

#include <algorithm>

namespace comfreyfold::standins {

namespace {
constexpr std::chrono::hours kMaxWait{1};
}  // namespace

void SlotQueue::Acquire(Fiber& fiber, int priority) {
  const std::pair ticket(-priority, next_ticket_++);
  queue_.insert(ticket);
  changed_.WaitUntil(fiber, kMaxWait, [this, &ticket] {
    return running_ < slots_ && *queue_.begin() == ticket;
  });
  queue_.erase(ticket);
  ++running_;
  max_running_ = std::max(max_running_, running_);
  changed_.NotifyAll();
}

void SlotQueue::Release() {
  --running_;
  changed_.NotifyAll();
}

}  // namespace comfreyfold::standins
