#include "core/request_window.h"

#include <algorithm>

namespace comfreyfold {

namespace {
constexpr double kDecrease = 0.85;
// All signs within about a request's time are of the same congestion.
constexpr std::chrono::milliseconds kOneCongestion{150};
}  // namespace

void RequestWindow::SetPlaces(int places) {
  most_ = std::max(kLeast, static_cast<double>(places));
  if (!started_ && places > 0) {
    started_ = true;
    size_ = most_;
  }
  size_ = std::min(size_, most_);
}

void RequestWindow::Served() {
  size_ = std::min(most_, size_ + 1 / size_);
}

// What is not in use of a wide window would let a burst through first.
void RequestWindow::Congested(int in_use, TimePoint now) {
  if (now - decreased_at_ >= kOneCongestion) {
    decreased_at_ = now;
    size_ = std::max(kLeast, std::min<double>(size_, in_use) * kDecrease);
  }
}

}  // namespace comfreyfold
