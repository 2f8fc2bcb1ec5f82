#include "server/decision_keys.h"

#include <cmath>
#include <limits>
#include <string>

namespace comfreyfold {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::nanoseconds;

constexpr char kSection[] = "decisions";
constexpr double kPercentFactor = 100;
constexpr std::int64_t kMaxNanosecondsPerToken = 1000000000;
constexpr std::int64_t kMaxExportBytes = 1LL << 40;
constexpr int kMaxSlots = 4096;

void ReadPercent(IniReader& reader,
                 const std::string& key,
                 double& out,
                 int low,
                 int high) {
  int percent = static_cast<int>(std::lround(out * kPercentFactor));
  reader.Read(kSection, key, percent, low, high);
  out = percent / kPercentFactor;
}

void ReadTimePerToken(IniReader& reader,
                      const std::string& key,
                      nanoseconds& out) {
  std::int64_t n = out.count();
  reader.Read(kSection, key, n, 0, kMaxNanosecondsPerToken);
  out = nanoseconds(n);
}

// round_robin and least_loaded are baselines for comparison. With them, calls
// are neither queued nor rejected early, contexts are not exported and servers
// are not ejected.
void ReadPolicy(IniReader& reader, DecisionSettings& out) {
  std::string policy = "ours";
  reader.Read(kSection, "policy", policy);
  if (policy == "ours") {
    return;
  }
  out.queue_calls = false;
  out.refuse_early = false;
  out.export_bytes = 0;
  out.ejection_failures = std::numeric_limits<int>::max();
  if (policy == "round_robin") {
    out.policy = EnginePolicy::kRoundRobin;
  } else if (policy == "least_loaded") {
    out.policy = EnginePolicy::kLeastLoaded;
  } else {
    reader.AddFault(kSection, "policy",
                    "write ours, round_robin or least_loaded");
  }
}

}  // namespace

void ReadDecisionSettings(IniReader& reader, DecisionSettings& out) {
  ReadPolicy(reader, out);
  ReadPercent(reader, "latency_weight_percent", out.latency_weight, 1, 10000);
  ReadPercent(reader, "cache_weight_percent", out.cache_weight, 0, 10000);
  ReadTimePerToken(reader, "prefill_ns_per_token", out.prefill_per_token);
  ReadTimePerToken(reader, "decode_ns_per_token", out.decode_per_token);
  ReadTimePerToken(reader, "import_ns_per_token", out.import_per_token);
  ReadTimePerToken(reader, "export_ns_per_token", out.export_per_token);
  reader.Read(kSection, "slots", out.engine_slots, 1, kMaxSlots);
  ReadPercent(reader, "slot_headroom_percent", out.slot_headroom, 10, 1000);
  ReadPercent(reader, "urgent_server_percent", out.urgent_server_share, 0, 50);
  ReadPercent(reader, "hold_memory_percent", out.hold_memory_share, 0, 100);
  reader.Read(kSection, "export_bytes", out.export_bytes, 0, kMaxExportBytes);
  reader.Read(kSection, "aging", out.aging, milliseconds(100), minutes(10));
  reader.Read(kSection, "queue_limit", out.queue_limit, milliseconds(10),
              minutes(10));
  ReadPercent(reader, "retry_percent", out.retry_ratio, 0, 100);
  reader.Read(kSection, "model_attempts", out.model_attempts, 1, 10);
  reader.Read(kSection, "ejection_failures", out.ejection_failures, 1,
              std::numeric_limits<int>::max());
  reader.Read(kSection, "ejection_time", out.ejection_time, milliseconds(10),
              minutes(10));
  ReadPercent(reader, "most_ejected_percent", out.max_ejected_share, 0, 90);
}

}  // namespace comfreyfold
