#ifndef BENCH_PROGRAM_RUN_H_
#define BENCH_PROGRAM_RUN_H_

#include <cstdint>
#include <string>

#include "core/hold_policy.h"
#include "core/time_point.h"
#include "workload.h"

namespace comfreyfold::bench {

// A program on its way through its turns.
struct ProgramRun {
  const GeneratedProgram* spec = nullptr;
  std::size_t turn = 0;
  std::int64_t history_tokens = 0;
  std::int64_t exported_tokens = 0;
  std::string engine;  // Of the last turn.
  std::set<std::string> avoid;
  int attempts = 0;
  std::uint64_t call = 0;  // The call under way; 0: none.
  TimePoint issued;
  std::chrono::nanoseconds attained{};
  std::chrono::nanoseconds latency{};  // Waited so far, pauses out.
  // Through the pause:
  std::int64_t kept_tokens = 0;  // In the engine's memory after the turn.
  std::int64_t held_tokens = 0;  // Not released through the pause.
  TimePoint paused;
  bool over = false;

  const Turn& current() const { return spec->turns[turn]; }
};

}  // namespace comfreyfold::bench

#endif  // BENCH_PROGRAM_RUN_H_
