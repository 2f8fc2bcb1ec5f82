#include "vm/stepping_clock.h"

#include <dlfcn.h>
#include <time.h>

#include <random>

namespace comfreyfold {
namespace {

using std::chrono::nanoseconds;
using std::chrono::seconds;

thread_local nanoseconds next_reading{};
thread_local nanoseconds step_of_readings{};  // 0: the machine's clock.
thread_local nanoseconds wall_shift{};
thread_local nanoseconds wall_spread{};
thread_local std::mt19937 wall_random;

// Returns how far the next reading of the time of day is off.
nanoseconds NextWallShift() {
  if (wall_spread.count() == 0) {
    return wall_shift;
  }
  return wall_shift +
         nanoseconds(std::uniform_int_distribution<nanoseconds::rep>(
             -wall_spread.count(), wall_spread.count())(wall_random));
}

timespec AsTimespec(nanoseconds time) {
  const auto whole = std::chrono::duration_cast<seconds>(time);
  return {static_cast<time_t>(whole.count()),
          static_cast<long>((time - whole).count())};
}

}  // namespace

SteppingClock::SteppingClock(std::chrono::steady_clock::time_point first,
                             nanoseconds step) {
  next_reading = first.time_since_epoch();
  step_of_readings = step;
}

SteppingClock::~SteppingClock() {
  step_of_readings = nanoseconds(0);
}

UnevenWallClock::UnevenWallClock(unsigned seed,
                                 std::chrono::milliseconds spread) {
  wall_spread = spread;
  wall_random.seed(seed);
}

UnevenWallClock::~UnevenWallClock() {
  wall_shift = wall_spread = nanoseconds(0);
}

void UnevenWallClock::Advance(std::chrono::milliseconds time) {
  wall_shift += time;
}

}  // namespace comfreyfold

// Takes the place of the C library's in this program.
extern "C" int clock_gettime(clockid_t clock, timespec* out) noexcept {
  using comfreyfold::next_reading;
  using comfreyfold::step_of_readings;
  using std::chrono::nanoseconds;
  using std::chrono::seconds;
  static const auto read_clock =
      reinterpret_cast<int (*)(clockid_t, timespec*)>(
          ::dlsym(RTLD_NEXT, "clock_gettime"));
  if (clock == CLOCK_MONOTONIC && step_of_readings.count() != 0) {
    *out = comfreyfold::AsTimespec(next_reading);
    next_reading += step_of_readings;
    return 0;
  }
  const int failed = read_clock(clock, out);
  if (failed == 0 && clock == CLOCK_REALTIME) {
    *out = comfreyfold::AsTimespec(seconds(out->tv_sec) +
                                   nanoseconds(out->tv_nsec) +
                                   comfreyfold::NextWallShift());
  }
  return failed;
}
