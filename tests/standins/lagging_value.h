#ifndef STANDINS_LAGGING_VALUE_H_
#define STANDINS_LAGGING_VALUE_H_

#include <chrono>
#include <deque>
#include <string>
#include <utility>

namespace comfreyfold::standins {

// A report that shows things as they were a while ago.
class LaggingValue {
 public:
  explicit LaggingValue(std::chrono::milliseconds lag) : lag_(lag) {}

  // Notes the value of now and returns the newest that is old enough.
  std::string Pass(std::string value) {
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
