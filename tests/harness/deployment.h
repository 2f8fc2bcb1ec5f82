#ifndef HARNESS_DEPLOYMENT_H_
#define HARNESS_DEPLOYMENT_H_

#include <string>

#include <nlohmann/json.hpp>

#include "net/http_server.h"
#include "net/loop.h"

namespace comfreyfold::harness {

// Returns the JSON configuration of a route from host "shop" to service "app".
inline nlohmann::json RouteEntry(const std::string& prefix,
                                 const char* type,
                                 bool retain_context,
                                 bool resumable) {
  return {{"name", prefix},         {"host", "shop"},
          {"prefix", prefix},       {"type", type},
          {"timeout_ms", 4000},     {"target_latency_ms", 250},
          {"priority", 0},          {"service", "app"},
          {"max_attempts", 2},      {"retain_context", retain_context},
          {"retention_s", 60.0},    {"cache_affinity", false},
          {"resumable", resumable}, {"target_gap_ms", 200}};
}

// Returns an address with a port that is currently free, for daemons whose
// address must be known before they start.
inline std::string FreeAddress(Loop& loop,
                               const std::string& ip = "127.0.0.1") {
  HttpServer probe(loop, [](Fiber&, const HttpRequest&, HttpExchange&) {});
  auto out = probe.Listen(ip + ":0");
  probe.Drain();
  return out;
}

}  // namespace comfreyfold::harness

#endif  // HARNESS_DEPLOYMENT_H_
