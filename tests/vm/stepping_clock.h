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

}  // namespace comfreyfold

#endif  // VM_STEPPING_CLOCK_H_
