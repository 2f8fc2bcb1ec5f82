#ifndef NET_LOOP_DELAY_H_
#define NET_LOOP_DELAY_H_

#include <chrono>

#include "net/loop.h"

namespace comfreyfold {

// Measures how late the loop runs what is due: about the time for which a
// request that has arrived waits until it is handled.
class LoopDelay {
 public:
  // Measures at regular intervals. Does not return.
  void Run(Fiber& fiber);

  // The latest measurement.
  std::chrono::milliseconds latest() const { return latest_; }
  // Returns the longest delay since the last call.
  std::chrono::milliseconds TakeLongest();

 private:
  std::chrono::milliseconds latest_{0};
  std::chrono::milliseconds longest_{0};
};

}  // namespace comfreyfold

#endif  // NET_LOOP_DELAY_H_
