#ifndef CORE_REQUEST_WINDOW_H_
#define CORE_REQUEST_WINDOW_H_

#include <chrono>

#include "core/time_point.h"

namespace comfreyfold {

// How many requests a daemon may have at the servers of a service: additive
// increase while they take them at once, multiplicative decrease when
// requests queue there or are turned away. Daemons that share servers need
// not know of each other to keep the queues short, so that the order in
// which requests are served stays theirs. Answers loads beyond the servers'.
class RequestWindow {
 public:
  // All servers' places together bound the window.
  void SetPlaces(int places);
  bool HasRoom(int in_use) const { return in_use < static_cast<int>(size_); }

  void Served();
  // `in_use` requests are at the servers.
  void Congested(int in_use, TimePoint now);
  double size() const { return size_; }

 private:
  double size_ = kLeast;
  double most_ = kLeast;
  bool started_ = false;
  TimePoint decreased_at_{};

  static constexpr double kLeast = 2;
};

}  // namespace comfreyfold

#endif  // CORE_REQUEST_WINDOW_H_
