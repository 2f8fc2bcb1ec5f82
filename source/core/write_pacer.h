#ifndef CORE_WRITE_PACER_H_
#define CORE_WRITE_PACER_H_

#include <chrono>

namespace comfreyfold {

// Limits writes to a rate, with short bursts after idle time (generic cell rate
// algorithm).
class WritePacer {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  WritePacer(int writes_per_second, int burst);

  void SetRate(int writes_per_second);

  // Reserves a slot for the next write and returns how long to wait for it.
  std::chrono::milliseconds Reserve(TimePoint now);

 private:
  std::chrono::microseconds interval_;
  int burst_;
  TimePoint next_;
};

}  // namespace comfreyfold

#endif  // CORE_WRITE_PACER_H_
