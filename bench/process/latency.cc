// What a call through two daemons adds over calling the stand-in directly:
// both are measured in one run, in turn. Calls back to back need more writes a
// second of the key-value service than the default allows, so they need either
// a pause between them or a higher limit.

#include <iostream>

#include <cxxopts.hpp>

#include "bench_run.h"
#include "figures.h"

namespace comfreyfold::bench {
namespace {

using Clock = std::chrono::steady_clock;
using MakeRequest = std::function<HttpRequest(const std::string& program)>;

constexpr int kWarmUpCalls = 50;
constexpr double kTargetMs = 2;

struct Rounds {
  int calls = 0;
  std::chrono::milliseconds pause{};
};

double TimedMs(Fiber& fiber,
               HttpClient& http,
               const std::string& address,
               const HttpRequest& request) {
  const auto start = Clock::now();
  const auto reply = http.Send(fiber, address, request);
  const std::chrono::duration<double, std::milli> time = Clock::now() - start;
  if (reply.status != 200) {
    throw std::runtime_error(address + " answered " +
                             std::to_string(reply.status) + ": " + reply.body);
  }
  return time.count();
}

void Measure(Fiber& fiber,
             harness::Cluster& cluster,
             const std::string& what,
             const Rounds& rounds,
             const std::string& standin,
             const MakeRequest& make) {
  const LaneMap lanes(cluster);
  std::vector<double> direct;
  std::vector<double> through;
  for (int i = -kWarmUpCalls; i < rounds.calls; ++i) {
    fiber.Sleep(rounds.pause);
    const auto program = what + std::to_string(i);
    // Every call enters at a daemon that does not own the program.
    const int entry = (lanes.OwnerOf(program) + 1) % cluster.daemons();
    const auto a =
        TimedMs(fiber, cluster.http(), standin, make(program + "-direct"));
    const auto b = TimedMs(fiber, cluster.http(),
                           cluster.daemon(entry).address(), make(program));
    if (i >= 0) {
      direct.push_back(a);
      through.push_back(b);
    }
  }
  constexpr double kMedian = 0.5;
  constexpr double kTail = 0.95;
  const auto row = [&](const char* name, double part) {
    const double a = Percentile(direct, part);
    const double b = Percentile(through, part);
    std::cout << what << " " << name << ": direct " << a
              << " ms, through two daemons " << b << " ms, adds " << b - a
              << " ms, ratio " << b / a << std::endl;
    return b - a;
  };
  const double added = row("median", kMedian);
  row("p95", kTail);
  std::cout << what << ": " << (added < kTargetMs ? "under" : "OVER")
            << " the target of " << kTargetMs << " ms at the median"
            << std::endl;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("comfreyfold_latency",
                           "Time that two daemons add to a call");
  options.add_options()("calls", "calls of each kind",
                        cxxopts::value<int>()->default_value("1000"))(
      "pause-ms", "between calls; 0: back to back",
      cxxopts::value<int>()->default_value("20"))(
      "writes-per-second", "of the fleet, at the key-value service",
      cxxopts::value<int>()->default_value("300"));
  const auto args = options.parse(argc, argv);
  const Rounds rounds{args["calls"].as<int>(),
                      std::chrono::milliseconds(args["pause-ms"].as<int>())};
  harness::ClusterOptions cluster;
  cluster.engines = 1;
  cluster.tool_servers = 1;
  cluster.settings["lanes"] =
      "writes_per_second = " +
      std::to_string(args["writes-per-second"].as<int>()) + "\n";
  return RunWithCluster(cluster, [rounds](Fiber& fiber, harness::Cluster& it) {
    Measure(
        fiber, it, "tool", rounds, it.tool_server(0).address(),
        [](const std::string& program) { return ToolUse(program, program); });
    constexpr int kTokens = 8;
    constexpr std::size_t kBytes = 200;
    Measure(fiber, it, "model", rounds, it.engine(0).address(),
            [](const std::string& program) {
              return Turn(program, program, kTokens, kBytes);
            });
  });
}

}  // namespace
}  // namespace comfreyfold::bench

int main(int argc, char** argv) {
  return comfreyfold::bench::Main(argc, argv);
}
