#ifndef SERVER_SHARED_CHECK_H_
#define SERVER_SHARED_CHECK_H_

#include <chrono>
#include <cstdint>
#include <exception>
#include <functional>

#include "core/time_point.h"
#include "net/loop.h"

namespace comfreyfold {

// Coalesces concurrent requests for the same check into one execution.
// Executions start at least `interval` apart.
class SharedCheck {
 public:
  SharedCheck(Loop& loop, std::chrono::milliseconds interval)
      : interval_(interval), changed_(loop) {}

  // Returns the result of a check that started at `since` or later, run either
  // by this call or by another caller. Rethrows the exception if it threw one.
  bool Run(Fiber& fiber,
           const std::function<bool(Fiber&)>& check,
           TimePoint since = std::chrono::steady_clock::now());

 private:
  void RunRound(Fiber& fiber, const std::function<bool(Fiber&)>& check);

  std::chrono::milliseconds interval_;
  Condition changed_;
  TimePoint last_start_;
  TimePoint next_start_;
  std::int64_t started_ = 0;
  std::int64_t ended_ = 0;
  bool running_ = false;
  bool result_ = false;
  std::exception_ptr error_;
};

}  // namespace comfreyfold

#endif  // SERVER_SHARED_CHECK_H_
