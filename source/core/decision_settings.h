#ifndef CORE_DECISION_SETTINGS_H_
#define CORE_DECISION_SETTINGS_H_

#include <chrono>
#include <cstdint>

namespace comfreyfold {

enum class EnginePolicy { kOurs, kRoundRobin, kLeastLoaded };

// The weights and bounds of every decision, the same in daemon and bench.
struct DecisionSettings {
  EnginePolicy policy = EnginePolicy::kOurs;

  // Engine choice: what a second of waiting and a second of prefilling
  // tokens that were prefilled before count against each other.
  double latency_weight = 1.0;
  double cache_weight = 1.0;
  std::chrono::nanoseconds prefill_per_token{20000};
  std::chrono::nanoseconds decode_per_token{2000000};
  std::chrono::nanoseconds import_per_token{10000};
  std::chrono::nanoseconds export_per_token{2000};
  int engine_slots = 8;  // Until an engine reports its own.
  std::chrono::milliseconds peer_report_timeout{2000};

  // Queue.
  bool queue_calls = true;     // Else every call goes to its server at once.
  double slot_headroom = 1.0;  // Calls at a server for each of its slots.
  std::chrono::milliseconds aging{5000};
  // Servers of which urgent messages find a slot free.
  double urgent_server_share = 0.1;

  // Holds through pauses.
  double hold_memory_share = 0.5;  // Of an engine's memory, all daemons.
  std::int64_t export_bytes = 32 * 1024 * 1024;  // Copies this daemon keeps.

  // Admission.
  bool refuse_early = true;
  std::chrono::milliseconds queue_limit{2000};

  // Retries and health.
  double retry_ratio = 0.2;  // Retries for each first attempt.
  int model_attempts = 3;    // Most dispatches of one model turn.
  int ejection_failures = 3;
  std::chrono::milliseconds ejection_time{1000};
  double max_ejected_share = 0.5;  // Of the servers of one kind.
};

}  // namespace comfreyfold

#endif  // CORE_DECISION_SETTINGS_H_
