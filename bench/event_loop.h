#ifndef BENCH_EVENT_LOOP_H_
#define BENCH_EVENT_LOOP_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "core/time_point.h"

namespace comfreyfold::bench {

// Runs functions in the order of a clock of its own.
class EventLoop {
 public:
  TimePoint now() const { return now_; }

  void After(std::chrono::nanoseconds delay, std::function<void()> body) {
    events_.push({now_ + std::chrono::duration_cast<TimePoint::duration>(delay),
                  next_++, std::move(body)});
  }

  // Runs until nothing is left, or `until` is reached.
  void Run(TimePoint until) {
    while (!events_.empty() && events_.top().at <= until) {
      auto event = events_.top();
      events_.pop();
      now_ = event.at;
      event.body();
    }
  }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> body;
    bool operator<(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };
  TimePoint now_;
  std::uint64_t next_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace comfreyfold::bench

#endif  // BENCH_EVENT_LOOP_H_
