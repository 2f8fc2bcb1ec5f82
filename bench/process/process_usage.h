#ifndef BENCH_PROCESS_PROCESS_USAGE_H_
#define BENCH_PROCESS_PROCESS_USAGE_H_

#include <chrono>
#include <cstdint>

namespace comfreyfold::bench {

// What a process has used so far.
struct ProcessUsage {
  std::chrono::nanoseconds processor{};
  std::int64_t resident_bytes = 0;
};

// Reads /proc; zeros when the process is gone.
ProcessUsage ReadUsage(int pid);

}  // namespace comfreyfold::bench

#endif  // BENCH_PROCESS_PROCESS_USAGE_H_
