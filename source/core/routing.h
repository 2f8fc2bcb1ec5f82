#ifndef CORE_ROUTING_H_
#define CORE_ROUTING_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace comfreyfold {

// What a route promises of a second run of its requests.
enum class RequestKind {
  kSafe,    // May run any number of times.
  kUnsafe,  // Runs at most once for each attempt of a client.
  kStream,  // Answers with events; runs at most once unless resumable.
};

struct WeightedService {
  std::string service;
  int weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // Begins and ends with a slash.
  RequestKind kind = RequestKind::kUnsafe;
  std::chrono::milliseconds timeout{0};         // 0: none.
  std::chrono::milliseconds target_latency{0};  // To the first event.
  std::chrono::milliseconds target_gap{0};      // Between events in time.
  int priority = 0;                             // 0 is the most urgent.
  int max_attempts = 1;
  std::vector<WeightedService> services;
  bool retains_context = false;
  std::chrono::milliseconds retention{0};  // Of turns, where context is kept.
  bool cache_affinity = false;
  bool resumable = false;

  // Whether a request that may have run may be sent again.
  bool Repeatable() const {
    return kind == RequestKind::kSafe ||
           (kind == RequestKind::kStream && resumable);
  }

  // "safe", "unsafe" or "stream", as metrics label it.
  const char* service_kind() const;

  // The service for `draw`, a random number, by the weights of the split.
  const std::string& Choose(std::uint64_t draw) const;
};

struct EngineTraits {
  int slots = 1;
  std::int64_t kv_capacity_tokens = 0;
  int tokens_per_event = 1;
};

struct BackendService {
  std::string name;
  std::string health_path;
  int max_connections = 0;  // To one server, from all daemons; 0: no bound.
  std::optional<EngineTraits> engine;
};

// Bounds on what clients may send, as the operator sets them.
struct ClientLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4UL * 1024 * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

// One version of the operators' routes and services.
class RoutingConfig {
 public:
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, BackendService> services;
  ClientLimits limits;

  // The route of `host` with the longest prefix that begins `path`; null
  // when there is none.
  const Route* Find(std::string_view host, std::string_view path) const;
};

}  // namespace comfreyfold

#endif  // CORE_ROUTING_H_
