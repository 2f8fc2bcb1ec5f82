#ifndef BENCH_WORKLOAD_H_
#define BENCH_WORKLOAD_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace comfreyfold::bench {

// One model turn and the tool call and pause that follow it.
struct Turn {
  std::int64_t added_tokens = 0;
  std::int64_t answer_tokens = 0;
  std::int64_t max_tokens = 0;  // What the caller allows.
  std::string tool;
  std::chrono::nanoseconds tool_service{};  // On a slot of an action server.
  std::chrono::nanoseconds pause{};         // After it, on no server.
};

struct GeneratedProgram {
  std::string id;
  std::string customer;
  int weight = 1;
  std::chrono::nanoseconds arrival{};
  std::vector<Turn> turns;
  std::chrono::nanoseconds patience{};  // For one answer; 0: none.
  bool dies = false;                    // Never says that it ends.
  std::chrono::nanoseconds work{};      // On engine slots, all cached.
};

enum class WorkloadKind { kQuote, kKiosk };

// What is generated: the same seed gives the same programs.
struct WorkloadOptions {
  WorkloadKind kind = WorkloadKind::kQuote;
  std::uint64_t seed = 1;
  std::chrono::seconds duration{90};
  double slots = 80;        // Of all engines.
  double base_load = 0.5;   // Of the customers within their share.
  double flood_load = 0.3;  // Of one customer more.
  // Bounds of a short run; 0 turns: none.
  std::size_t most_turns = 0;
  int pause_divisor = 1;
  std::chrono::nanoseconds most_pause = std::chrono::hours(1);
};

// The bounds of the run on real processes.
void Shorten(WorkloadOptions& options);

// Prices of the stand-in engine.
struct EngineCosts {
  std::chrono::nanoseconds prefill_per_token{20000};
  std::chrono::nanoseconds import_per_token{10000};
  std::chrono::nanoseconds decode_per_token{2000000};
  int slots = 8;
  std::int64_t memory_tokens = 400000;
  // Outside the engines, for what they export.
  std::int64_t export_store_tokens = 16000000;
};

inline constexpr char kFloodCustomer[] = "customer-flood";

std::vector<GeneratedProgram> Generate(const WorkloadOptions& options,
                                       const EngineCosts& costs);

std::string ToString(WorkloadKind kind);

}  // namespace comfreyfold::bench

#endif  // BENCH_WORKLOAD_H_
