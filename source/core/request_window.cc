#include "core/request_window.h"

#include <algorithm>

namespace comfreyfold {

namespace {
constexpr double kDecreaseFactor = 0.85;
// Signs of congestion within about the duration of a request have one cause.
constexpr std::chrono::milliseconds kDecreaseInterval{150};
}  // namespace

void RequestWindow::SetSlots(int slots) {
  max_size_ = std::max(kMinSize, static_cast<double>(slots));
  if (!initialized_ && slots > 0) {
    initialized_ = true;
    size_ = max_size_;
  }
  size_ = std::min(size_, max_size_);
}

void RequestWindow::OnSuccess() {
  size_ = std::min(max_size_, size_ + 1 / size_);
}

// Shrinks from the part in use: the unused part of a wide window would let a
// burst pass before the window takes effect.
void RequestWindow::OnCongestion(int in_use, TimePoint now) {
  if (now - decreased_at_ >= kDecreaseInterval) {
    decreased_at_ = now;
    size_ =
        std::max(kMinSize, std::min<double>(size_, in_use) * kDecreaseFactor);
  }
}

}  // namespace comfreyfold
