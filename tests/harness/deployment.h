#ifndef HARNESS_DEPLOYMENT_H_
#define HARNESS_DEPLOYMENT_H_

#include <string>

#include <nlohmann/json.hpp>

#include "net/http_server.h"
#include "net/loop.h"

namespace comfreyfold::harness {

// A route of host "shop" to the service "app", as operators write it.
inline nlohmann::json RouteEntry(const std::string& prefix,
                                 const char* type,
                                 bool context,
                                 bool resumable) {
  return {{"name", prefix},         {"host", "shop"},
          {"prefix", prefix},       {"type", type},
          {"timeout_ms", 4000},     {"target_latency_ms", 250},
          {"priority", 0},          {"service", "app"},
          {"max_attempts", 2},      {"retain_context", context},
          {"retention_s", 60.0},    {"cache_affinity", false},
          {"resumable", resumable}, {"target_gap_ms", 200}};
}

// A port that is free now: a daemon is told its address before it starts.
inline std::string FreeAddress(Loop& loop,
                               const std::string& ip = "127.0.0.1") {
  HttpServer probe(loop, [](Fiber&, const HttpRequest&, HttpExchange&) {});
  auto out = probe.Listen(ip + ":0");
  probe.Drain();
  return out;
}

}  // namespace comfreyfold::harness

#endif  // HARNESS_DEPLOYMENT_H_
