#include "net/loop_delay.h"

#include <algorithm>
#include <utility>

namespace comfreyfold {

namespace {
constexpr std::chrono::milliseconds kInterval{100};
}  // namespace

void LoopDelay::Run(Fiber& fiber) {
  for (;;) {
    const auto due = std::chrono::steady_clock::now() + kInterval;
    fiber.Sleep(kInterval);
    latest_ = std::max(std::chrono::milliseconds(0),
                       std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::steady_clock::now() - due));
    longest_ = std::max(longest_, latest_);
  }
}

std::chrono::milliseconds LoopDelay::TakeLongest() {
  return std::exchange(longest_, std::chrono::milliseconds(0));
}

}  // namespace comfreyfold
