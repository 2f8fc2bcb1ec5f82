#ifndef SERVER_SHARED_CHECK_H_
#define SERVER_SHARED_CHECK_H_

#include <chrono>
#include <cstdint>
#include <exception>
#include <functional>

#include "net/loop.h"

namespace comfreyfold {

// One check for all who ask at about the same time. Each caller gets the
// result of a check that began after it asked; checks begin at least
// `interval` apart.
class SharedCheck {
 public:
  SharedCheck(Loop& loop, std::chrono::milliseconds interval)
      : interval_(interval), changed_(loop) {}

  // Runs `check`, or waits for another caller's. Throws what it threw.
  bool Run(Fiber& fiber, const std::function<bool(Fiber&)>& check);

 private:
  void RunRound(Fiber& fiber, const std::function<bool(Fiber&)>& check);

  std::chrono::milliseconds interval_;
  Condition changed_;
  std::chrono::steady_clock::time_point next_start_;
  std::int64_t started_ = 0;
  std::int64_t ended_ = 0;
  bool running_ = false;
  bool result_ = false;
  std::exception_ptr error_;
};

}  // namespace comfreyfold

#endif  // SERVER_SHARED_CHECK_H_
