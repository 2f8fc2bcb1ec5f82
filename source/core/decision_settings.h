#ifndef CORE_DECISION_SETTINGS_H_
#define CORE_DECISION_SETTINGS_H_

#include <chrono>
#include <cstdint>

namespace comfreyfold {

enum class EnginePolicy { kOurs, kRoundRobin, kLeastLoaded };

// The weights and limits of scheduling decisions. The daemon and the benchmarks
// use the same ones.
struct DecisionSettings {
  EnginePolicy policy = EnginePolicy::kOurs;

  // Engine choice: the relative weights of a second of waiting and of a second
  // spent on prefilling tokens that were prefilled before.
  double latency_weight = 1.0;
  double cache_weight = 1.0;
  std::chrono::nanoseconds prefill_per_token{20000};
  std::chrono::nanoseconds decode_per_token{2000000};
  std::chrono::nanoseconds import_per_token{10000};
  std::chrono::nanoseconds export_per_token{2000};
  int engine_slots = 8;  // Until an engine reports its own.
  std::chrono::milliseconds peer_report_timeout{2000};

  // Queue.
  bool queue_calls = true;     // If false, calls are dispatched at once.
  double slot_headroom = 1.0;  // Calls at a server per slot.
  // Calls that wait longer go before their customer's other calls.
  std::chrono::milliseconds aging{5000};
  // Share of the servers that is reserved for urgent calls.
  double urgent_server_share = 0.1;

  // Contexts held in engine memory during pauses.
  double hold_memory_share = 0.5;  // Of an engine's memory, for all daemons.
  std::int64_t export_bytes = 32 * 1024 * 1024;  // Limit for exported copies.

  // Admission.
  bool refuse_early = true;  // If false, every call is queued.
  // The longest expected wait of the first call of a program.
  std::chrono::milliseconds queue_limit{2000};

  // Retries and health.
  double retry_ratio = 0.2;  // Retries per first attempt.
  int model_attempts = 3;    // Maximum number of dispatches per model turn.
  int ejection_failures = 3;
  std::chrono::milliseconds ejection_time{1000};
  double max_ejected_share = 0.5;  // Of the servers of one target.
};

}  // namespace comfreyfold

#endif  // CORE_DECISION_SETTINGS_H_
