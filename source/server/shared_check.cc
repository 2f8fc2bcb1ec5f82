#include "server/shared_check.h"

namespace comfreyfold {

namespace {
constexpr std::chrono::hours kLongWait{1};
}  // namespace

bool SharedCheck::Run(Fiber& fiber,
                      const std::function<bool(Fiber&)>& check,
                      TimePoint since) {
  // A check that started before `since` may have missed what the caller asks
  // about.
  const bool reusable = started_ > 0 && last_start_ >= since;
  const auto needed = reusable ? started_ : started_ + 1;
  while (ended_ < needed) {
    if (running_) {
      changed_.Wait(fiber, kLongWait);
    } else {
      RunRound(fiber, check);
    }
  }
  if (error_) {
    std::rethrow_exception(error_);
  }
  return result_;
}

void SharedCheck::RunRound(Fiber& fiber,
                           const std::function<bool(Fiber&)>& check) {
  running_ = true;
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
      next_start_ - std::chrono::steady_clock::now());
  if (wait > std::chrono::milliseconds::zero()) {
    fiber.Sleep(wait);
  }
  ++started_;
  last_start_ = std::chrono::steady_clock::now();
  next_start_ = last_start_ + interval_;
  try {
    result_ = check(fiber);
    error_ = nullptr;
  } catch (const std::exception&) {
    error_ = std::current_exception();
  }
  ended_ = started_;
  running_ = false;
  changed_.NotifyAll();
}

}  // namespace comfreyfold
