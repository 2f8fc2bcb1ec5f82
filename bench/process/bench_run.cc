#include "bench_run.h"

#include <iostream>

#include "clients/base64.h"
#include "core/hash.h"

namespace comfreyfold::bench {

using harness::Cluster;
using nlohmann::json;

namespace {

constexpr char kCustomer[] = "bandwerk";

std::vector<HttpHeader> Headers(const std::string& program,
                                const std::string& key) {
  return {{"Authorization", std::string("Bearer ") + harness::kQuoteKey},
          {"Content-Type", "application/json"},
          {"Comfreyfold-Program", program},
          {"Idempotency-Key", key},
          // The stand-in keeps its cache by these two.
          {"X-Program", program},
          {"X-Request-Id", key}};
}

}  // namespace

int RunWithCluster(const harness::ClusterOptions& options,
                   const std::function<void(Fiber&, Cluster&)>& body) {
  int code = 1;
  Loop loop;
  loop.OnError([&loop](const char* what) {
    std::cerr << "failed: " << what << std::endl;
    loop.Stop();
  });
  loop.Spawn([&](Fiber& fiber) {
    Cluster cluster(fiber, options);
    cluster.WaitReady(std::chrono::seconds(60));
    cluster.Apply({WideContract()});
    body(fiber, cluster);
    code = 0;
    loop.Stop();
  });
  loop.OnTermination([&loop] { loop.Stop(); });
  loop.Run();
  return code;
}

std::string WideContract() {
  return "[customer]\nname = bandwerk\napi_key_sha256 = " +
         Sha256Hex(harness::kQuoteKey) +
         "\n[budget]\ntokens = 1000000000000\nperiod = 24h\n"
         "[share]\nconcurrency = 1000\n"
         "[tool stock_lookup]\nidempotent = true\nattempts = 3\n";
}

LaneMap::LaneMap(Cluster& cluster) {
  std::vector<std::string> ids;
  ids.reserve(static_cast<std::size_t>(cluster.daemons()));
  for (int i = 0; i < cluster.daemons(); ++i) {
    ids.push_back("d" + std::to_string(i));
  }
  // Until then lanes move, and a call may enter at its owner.
  cluster.WaitFor("each lane to be at the daemon that it prefers", [&] {
    owners_.clear();
    for (int i = 0; i < cluster.daemons(); ++i) {
      const auto status = cluster.Status(i);
      for (const auto& it : status["lanes"]) {
        const int lane = it["lane"].get<int>();
        const auto order = RendezvousOrder("lane/" + std::to_string(lane), ids);
        if (order.front() == ids[static_cast<std::size_t>(i)]) {
          owners_[lane] = i;
        }
      }
    }
    return owners_.size() == Cluster::kLanes;
  });
}

int LaneMap::OwnerOf(const std::string& program) const {
  return owners_.at(LaneOf(kCustomer, program, Cluster::kLanes));
}

HttpRequest Turn(const std::string& program,
                 const std::string& key,
                 int tokens,
                 std::size_t bytes) {
  std::string text;
  while (text.size() < bytes) {
    text += "word ";
  }
  const json body = {{"model", "quote-large"},
                     {"messages", {{{"role", "user"}, {"content", text}}}},
                     {"max_tokens", tokens},
                     {"stream", true}};
  return {"POST", "/v1/chat/completions", Headers(program, key), body.dump()};
}

HttpRequest ToolUse(const std::string& program, const std::string& key) {
  return {"POST", "/v1/tools/stock_lookup", Headers(program, key), "{}"};
}

}  // namespace comfreyfold::bench
