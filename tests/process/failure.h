#ifndef PROCESS_FAILURE_H_
#define PROCESS_FAILURE_H_

#include <functional>
#include <string>
#include <vector>

#include "process/booking.h"

namespace comfreyfold::process {

// A call under way, and the daemons that it passes through.
struct Scene {
  harness::Cluster& cluster;
  Booking& booking;
  int owner = 0;
  int entry = 0;
};

// One way to fail. `strike` happens while the call runs, `heal` after it.
struct Failure {
  std::string name;
  std::function<void(Scene&)> strike;
  std::function<void(Scene&)> heal;
  bool loses_runs = false;  // What the server saw is gone with it.
};

// Every failure of these tests, in a fixed order.
const std::vector<Failure>& AllFailures();
// The failure of that name; throws std::out_of_range.
const Failure& FailureNamed(const std::string& name);

// Makes the next call at every tool server take `delay` longer.
void HangTools(harness::Cluster& cluster,
               int count,
               std::chrono::milliseconds delay);

}  // namespace comfreyfold::process

#endif  // PROCESS_FAILURE_H_
