#include "vm/stepping_clock.h"

#include <dlfcn.h>
#include <time.h>

namespace comfreyfold {
namespace {

using std::chrono::nanoseconds;
using std::chrono::seconds;

thread_local nanoseconds next_reading{};
thread_local nanoseconds step_of_readings{};  // 0: the machine's clock.

}  // namespace

SteppingClock::SteppingClock(std::chrono::steady_clock::time_point first,
                             nanoseconds step) {
  next_reading = first.time_since_epoch();
  step_of_readings = step;
}

SteppingClock::~SteppingClock() {
  step_of_readings = nanoseconds(0);
}

}  // namespace comfreyfold

// Takes the place of the C library's in this program.
extern "C" int clock_gettime(clockid_t clock, timespec* out) noexcept {
  using comfreyfold::next_reading;
  using comfreyfold::step_of_readings;
  static const auto read_clock =
      reinterpret_cast<int (*)(clockid_t, timespec*)>(
          ::dlsym(RTLD_NEXT, "clock_gettime"));
  if (clock != CLOCK_MONOTONIC || step_of_readings.count() == 0) {
    return read_clock(clock, out);
  }
  const auto whole =
      std::chrono::duration_cast<std::chrono::seconds>(next_reading);
  out->tv_sec = static_cast<time_t>(whole.count());
  out->tv_nsec = static_cast<long>((next_reading - whole).count());
  next_reading += step_of_readings;
  return 0;
}
