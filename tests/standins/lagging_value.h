#ifndef STANDINS_LAGGING_VALUE_H_
#define STANDINS_LAGGING_VALUE_H_

#include <chrono>
#include <deque>
#include <string>
#include <utility>

namespace comfreyfold::standins {

// Delays a reported value: readers get the value of `lag` ago.
class LaggingValue {
 public:
  explicit LaggingValue(std::chrono::milliseconds lag) : lag_(lag) {}

  // Records the current value and returns the newest recorded one that is at
  // least `lag` old, or the oldest if none is.
  std::string RecordAndGet(std::string value) {
    const auto now = std::chrono::steady_clock::now();
    values_.emplace_back(now, std::move(value));
    while (values_.size() > 1 && values_[1].first + lag_ <= now) {
      values_.pop_front();
    }
    return values_.front().second;
  }

 private:
  std::chrono::milliseconds lag_;
  std::deque<std::pair<std::chrono::steady_clock::time_point, std::string>>
      values_;
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_LAGGING_VALUE_H_
