#ifndef CORE_REQUEST_WINDOW_H_
#define CORE_REQUEST_WINDOW_H_

#include <chrono>

#include "core/time_point.h"

namespace comfreyfold {

// Bounds the requests that a daemon has at the servers of a service under
// overload. The window grows additively while servers run requests at once and
// shrinks multiplicatively when requests queue at servers or are refused.
// Daemons that share servers need not know of each other to keep the queues at
// servers short, so that requests wait in the daemons, which order them.
class RequestWindow {
 public:
  // Sets the upper bound of the window: the slots of all servers.
  void SetSlots(int slots);
  bool HasRoom(int in_use) const { return in_use < static_cast<int>(size_); }

  void OnSuccess();
  // `in_use` is the number of requests that this daemon has at the servers.
  void OnCongestion(int in_use, TimePoint now);
  double size() const { return size_; }

 private:
  double size_ = kMinSize;
  double max_size_ = kMinSize;
  bool initialized_ = false;
  TimePoint decreased_at_{};

  static constexpr double kMinSize = 2;
};

}  // namespace comfreyfold

#endif  // CORE_REQUEST_WINDOW_H_
