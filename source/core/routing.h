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

// Whether the requests of a route may run more than once.
enum class RequestKind {
  kSafe,    // May run any number of times.
  kUnsafe,  // Runs at most once per attempt of a client.
  kStream,  // Responds with events; runs at most once unless resumable.
};

struct WeightedService {
  std::string service;
  int weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // Of the path; begins and ends with a slash.
  RequestKind kind = RequestKind::kUnsafe;
  std::chrono::milliseconds timeout{0};         // 0: none.
  std::chrono::milliseconds target_latency{0};  // To the first event.
  std::chrono::milliseconds target_gap{0};      // Between events.
  int priority = 0;                             // 0 is the most urgent.
  int max_attempts = 1;
  std::vector<WeightedService> services;
  bool retains_context = false;
  std::chrono::milliseconds retention{0};  // Of turns, if retained.
  bool cache_affinity = false;
  bool resumable = false;

  // Whether a request that may have run may be sent again.
  bool Repeatable() const {
    return kind == RequestKind::kSafe ||
           (kind == RequestKind::kStream && resumable);
  }

  // The label of the kind in metrics: "safe", "unsafe" or "stream".
  const char* service_kind() const;

  // Selects a service by the weights of the traffic split, where `draw` is a
  // random number.
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
  int max_connections = 0;  // Of all daemons per server; 0: unlimited.
  std::optional<EngineTraits> engine;
};

// The operators' limits on client requests.
struct ClientLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4UL * 1024 * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

// One version of the routes and services configured by the operators.
class RoutingConfig {
 public:
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, BackendService> services;
  ClientLimits limits;

  // Returns the route of `host` with the longest prefix of `path`, or null.
  const Route* Find(std::string_view host, std::string_view path) const;
};

}  // namespace comfreyfold

#endif  // CORE_ROUTING_H_
