#ifndef VM_STEPPING_CLOCK_H_
#define VM_STEPPING_CLOCK_H_

#include <chrono>

namespace comfreyfold {

// While one exists, each reading of the steady clock in its thread is later
// than the one before by a fixed step, whatever the machine's speed.
class SteppingClock {
 public:
  SteppingClock(std::chrono::steady_clock::time_point first,
                std::chrono::nanoseconds step);
  ~SteppingClock();
  SteppingClock(const SteppingClock&) = delete;
  SteppingClock& operator=(const SteppingClock&) = delete;
};

// While one exists, each reading of the time of day in its thread is off by
// another time, as of daemons whose clocks differ, and all can be moved on.
class UnevenWallClock {
 public:
  // Readings are off by `spread` at most.
  UnevenWallClock(unsigned seed, std::chrono::milliseconds spread);
  ~UnevenWallClock();
  UnevenWallClock(const UnevenWallClock&) = delete;
  UnevenWallClock& operator=(const UnevenWallClock&) = delete;

  void Advance(std::chrono::milliseconds time);
};

}  // namespace comfreyfold

#endif  // VM_STEPPING_CLOCK_H_
