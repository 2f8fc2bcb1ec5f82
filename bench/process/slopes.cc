// Slopes of what a daemon uses, each from three points or more, on real
// processes: docs/CAPACITY.md works the full size out from them.

#include <algorithm>
#include <csignal>
#include <iostream>
#include <sstream>

#include <cxxopts.hpp>

#include "bench_run.h"
#include "figures.h"
#include "process_usage.h"

namespace comfreyfold::bench {
namespace {

using harness::Cluster;
using harness::ClusterOptions;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds kRestTime{6};
constexpr std::chrono::seconds kSettleTime{10};
constexpr std::chrono::seconds kOutage{10};
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr int kCallers = 16;

double Seconds(Clock::duration time) {
  return std::chrono::duration<double>(time).count();
}

// Use of all daemons together.
ProcessUsage UsageOf(Cluster& cluster) {
  ProcessUsage out;
  for (int i = 0; i < cluster.daemons(); ++i) {
    const auto one = ReadUsage(cluster.daemon(i).pid());
    out.processor += one.processor;
    out.resident_bytes += one.resident_bytes;
  }
  return out;
}

// Sum over the daemons of the metrics whose name starts with `prefix`.
double MetricSum(Fiber& fiber, Cluster& cluster, const std::string& prefix) {
  double out = 0;
  for (int i = 0; i < cluster.daemons(); ++i) {
    const auto reply = cluster.http().Send(fiber, cluster.daemon(i).address(),
                                           {"GET", "/metrics"});
    std::istringstream in(reply.body);
    for (std::string line; std::getline(in, line);) {
      if (line.rfind(prefix, 0) == 0) {
        out += std::stod(line.substr(line.rfind(' ') + 1));
      }
    }
  }
  return out;
}

constexpr char kControlBytes[] =
    "comfreyfold_sent_bytes_total{traffic=\"control\"}";
constexpr char kOtherBytes[] =
    "comfreyfold_sent_bytes_total{traffic=\"other\"}";
constexpr char kKeyValueBytes[] =
    "comfreyfold_sent_bytes_total{traffic=\"key_value\"}";
constexpr char kKeyValueCalls[] = "comfreyfold_key_value_calls_total";

// Makes `calls` calls from several callers at a time, each entering at a
// daemon that does not own its program.
void MakeCalls(Fiber& fiber,
               Cluster& cluster,
               const std::string& prefix,
               int calls,
               const std::function<HttpRequest(const std::string&)>& make) {
  const LaneMap lanes(cluster);
  int next = 0;
  int running = kCallers;
  int failed = 0;
  Condition ended(fiber.loop());
  for (int n = 0; n < kCallers; ++n) {
    fiber.loop().Spawn([&](Fiber& child) {
      while (next < calls) {
        const auto program = prefix + std::to_string(next++);
        const int entry = (lanes.OwnerOf(program) + 1) % cluster.daemons();
        const auto reply = cluster.http().Send(
            child, cluster.daemon(entry).address(), make(program));
        failed += reply.status == 200 ? 0 : 1;
      }
      --running;
      ended.NotifyAll();
    });
  }
  if (!ended.WaitUntil(fiber, std::chrono::minutes(5),
                       [&running] { return running == 0; }) ||
      failed > 0) {
    throw std::runtime_error(std::to_string(failed) + " calls failed");
  }
}

void MeasureCalls(Fiber& fiber, Cluster& cluster) {
  std::vector<Point> processor;
  std::vector<Point> memory;
  std::vector<Point> writes;
  for (const int calls : {500, 1000, 2000, 4000}) {
    const auto before = UsageOf(cluster);
    const double kv_before = MetricSum(fiber, cluster, kKeyValueCalls);
    MakeCalls(fiber, cluster, "tool-" + std::to_string(calls) + "-", calls,
              [](const std::string& it) { return ToolUse(it, it); });
    const auto after = UsageOf(cluster);
    const double x = calls;
    processor.push_back(
        {x, static_cast<double>((after.processor - before.processor).count()) /
                1000});
    memory.push_back(
        {x, static_cast<double>(after.resident_bytes - before.resident_bytes)});
    writes.push_back(
        {x, MetricSum(fiber, cluster, kKeyValueCalls) - kv_before});
  }
  PrintSlope("processor time of a tool call, entry and owner", "us a call",
             processor);
  PrintSlope("memory of a program of one tool call, event memory filling",
             "bytes a program", memory);
  PrintSlope("key-value calls at 16 calls in parallel", "a call", writes);
}

void MeasureHistory(Fiber& fiber, Cluster& cluster) {
  constexpr int kPrograms = 500;
  std::vector<Point> memory;
  std::vector<Point> processor;
  for (const std::size_t bytes : {1000UL, 8000UL, 16000UL, 32000UL}) {
    const auto before = UsageOf(cluster);
    MakeCalls(
        fiber, cluster, "held-" + std::to_string(bytes) + "-", kPrograms,
        [bytes](const std::string& it) { return Turn(it, it, 1, bytes); });
    const auto after = UsageOf(cluster);
    const auto x = static_cast<double>(bytes);
    memory.push_back(
        {x, static_cast<double>(after.resident_bytes - before.resident_bytes) /
                kPrograms});
    processor.push_back(
        {x, static_cast<double>((after.processor - before.processor).count()) /
                1000 / kPrograms});
  }
  PrintSlope("memory of a held program", "bytes a byte of history", memory);
  PrintSlope("processor time of a turn", "us a byte of message", processor);
}

void MeasureTokens(Fiber& fiber, Cluster& cluster) {
  constexpr int kStreams = 64;
  std::vector<Point> processor;
  for (const int tokens : {8, 128, 512, 1024, 4096}) {
    const auto before = UsageOf(cluster);
    MakeCalls(
        fiber, cluster, "stream-" + std::to_string(tokens) + "-", kStreams,
        [tokens](const std::string& it) { return Turn(it, it, tokens, 200); });
    const auto after = UsageOf(cluster);
    processor.push_back(
        {static_cast<double>(tokens),
         static_cast<double>((after.processor - before.processor).count()) /
             1000 / kStreams});
  }
  PrintSlope("processor time of a stream, entry and owner", "us a token",
             processor);
}

struct RestFigures {
  double processor_share = 0;  // Of a core, a daemon.
  double control_bytes = 0;    // A second, a daemon.
  double key_value_bytes = 0;  // A second, a daemon.
  double key_value_calls = 0;  // A second, the fleet.
  double resident_bytes = 0;   // A daemon.
};

RestFigures MeasureRest(Fiber& fiber, Cluster& cluster) {
  // The news of the start is still under way.
  fiber.Sleep(kSettleTime);
  const auto start = Clock::now();
  const auto usage = UsageOf(cluster);
  const double control = MetricSum(fiber, cluster, kControlBytes);
  const double kv_bytes = MetricSum(fiber, cluster, kKeyValueBytes);
  const double kv_calls = MetricSum(fiber, cluster, kKeyValueCalls);
  fiber.Sleep(kRestTime);
  const double time = Seconds(Clock::now() - start);
  const double n = cluster.daemons();
  const auto end = UsageOf(cluster);
  RestFigures out;
  out.processor_share =
      std::chrono::duration<double>(end.processor - usage.processor).count() /
      time / n;
  out.control_bytes =
      (MetricSum(fiber, cluster, kControlBytes) - control) / time / n;
  out.key_value_bytes =
      (MetricSum(fiber, cluster, kKeyValueBytes) - kv_bytes) / time / n;
  out.key_value_calls =
      (MetricSum(fiber, cluster, kKeyValueCalls) - kv_calls) / time;
  out.resident_bytes = static_cast<double>(end.resident_bytes) / n;
  return out;
}

// What a daemon spends on following the servers' load reports.
void MeasureServers(int daemons, const std::string& calls) {
  std::vector<Point> processor;
  std::vector<Point> sent;
  constexpr int kToolServers = 2;
  for (const int engines : {2, 8, 16, 32}) {
    ClusterOptions options;
    options.daemons = daemons;
    options.engines = engines;
    if (!calls.empty()) {
      options.settings["calls"] = calls + "\n";
    }
    RunWithCluster(options, [&](Fiber& fiber, Cluster& cluster) {
      const double before = MetricSum(fiber, cluster, kOtherBytes);
      const auto start = Clock::now();
      const auto rest = MeasureRest(fiber, cluster);
      const double x = engines + kToolServers;
      processor.push_back({x, rest.processor_share * kMicrosecondsPerSecond});
      sent.push_back({x, (MetricSum(fiber, cluster, kOtherBytes) - before) /
                             Seconds(Clock::now() - start) /
                             cluster.daemons()});
    });
  }
  PrintSlope("at rest, processor time of a daemon", "us a second a server",
             processor);
  PrintSlope("at rest, bytes sent to servers by a daemon", "a second a server",
             sent);
}

// Time until every daemon has a change in force, by the operators' tool.
double TimeOfChange(Cluster& cluster) {
  const auto start = Clock::now();
  cluster.Apply({WideContract()});
  return Seconds(Clock::now() - start);
}

void MeasureFleets(const std::vector<int>& sizes) {
  std::vector<Point> processor;
  std::vector<Point> control;
  std::vector<Point> kv_calls;
  std::vector<Point> memory;
  std::vector<Point> change;
  for (const int daemons : sizes) {
    ClusterOptions options;
    options.daemons = daemons;
    const int code = RunWithCluster(options, [&](Fiber& fiber,
                                                 Cluster& cluster) {
      const auto rest = MeasureRest(fiber, cluster);
      const double x = daemons;
      processor.push_back({x, rest.processor_share * kMicrosecondsPerSecond});
      control.push_back({x, rest.control_bytes});
      kv_calls.push_back({x, rest.key_value_calls});
      memory.push_back({x, rest.resident_bytes});
      change.push_back({x, TimeOfChange(cluster)});
    });
    if (code != 0) {
      std::cerr << daemons << " daemons: not measured" << std::endl;
    }
  }
  PrintSlope("at rest, processor time of a daemon", "us a second a daemon more",
             processor);
  PrintSlope("at rest, control bytes sent by a daemon",
             "a second a daemon more", control);
  PrintSlope("at rest, key-value calls of the fleet", "a second a daemon",
             kv_calls);
  PrintSlope("at rest, memory of a daemon", "bytes a daemon more", memory);
  PrintSlope("contract in force on the whole fleet", "s a daemon more", change);
}

// Time until a daemon that was killed is ready again, in ms.
double TimeOfRestart(Fiber& fiber, Cluster& cluster) {
  constexpr int kRestarts = 7;
  constexpr std::chrono::milliseconds kStep{2};
  constexpr double kMedian = 0.5;
  std::vector<double> times;
  for (int i = 0; i < kRestarts; ++i) {
    const int daemon = i % cluster.daemons();
    cluster.daemon(daemon).Kill();
    fiber.Sleep(kRestTime / kRestarts);
    const auto start = Clock::now();
    cluster.StartDaemon(daemon);
    while (
        cluster.http()
            .Send(fiber, cluster.daemon(daemon).address(), {"GET", "/readyz"})
            .status != 200) {
      fiber.Sleep(kStep);
    }
    times.push_back(Seconds(Clock::now() - start) * 1000);
  }
  return Percentile(times, kMedian);
}

// Calls at the service from the time that it is back until the fleet is at
// rest again, per second of that time.
void MeasureStates(const std::vector<int>& sizes) {
  std::vector<Point> restart;
  std::vector<Point> outage;
  std::vector<Point> single;
  for (const int daemons : sizes) {
    ClusterOptions options;
    options.daemons = daemons;
    RunWithCluster(options, [&](Fiber& fiber, Cluster& cluster) {
      const double x = daemons;
      cluster.kv().Signal(SIGSTOP);
      fiber.Sleep(kOutage);
      cluster.kv().Signal(SIGCONT);
      const double before = MetricSum(fiber, cluster, kKeyValueCalls);
      fiber.Sleep(std::chrono::seconds(1));
      outage.push_back({x, MetricSum(fiber, cluster, kKeyValueCalls) - before});
      for (int i = 0; i < daemons; ++i) {
        cluster.daemon(i).Kill();
      }
      const auto start = Clock::now();
      for (int i = 0; i < daemons; ++i) {
        cluster.StartDaemon(i);
      }
      const auto first_second = std::chrono::seconds(1);
      fiber.Sleep(std::chrono::ceil<std::chrono::milliseconds>(std::max(
          Clock::duration::zero(), start + first_second - Clock::now())));
      restart.push_back({x, MetricSum(fiber, cluster, kKeyValueCalls)});
      cluster.WaitReady(std::chrono::seconds(60));
      fiber.Sleep(kSettleTime);
      single.push_back({x, TimeOfRestart(fiber, cluster)});
    });
  }
  PrintSlope("key-value calls in the first second after an outage of 10 s",
             "a daemon", outage);
  PrintSlope("key-value calls in the first second, all daemons restarted",
             "a daemon", restart);
  PrintSlope("time until one restarted daemon is ready, median",
             "ms a daemon more", single);
}

std::vector<int> Sizes(const cxxopts::ParseResult& args) {
  return args["fleets"].as<std::vector<int>>();
}

int Main(int argc, char** argv) {
  cxxopts::Options options("comfreyfold_slopes",
                           "Slopes of processor time, memory and messages");
  options.add_options()("only", "calls, servers, fleets or states; empty: all",
                        cxxopts::value<std::string>()->default_value(""))(
      "daemons", "for servers: daemons that follow them",
      cxxopts::value<int>()->default_value("3"))(
      "calls", "for servers: a line of the daemons' [calls]",
      cxxopts::value<std::string>()->default_value(""))(
      "fleets", "numbers of daemons",
      cxxopts::value<std::vector<int>>()->default_value("3,6,9,18"));
  const auto args = options.parse(argc, argv);
  const auto only = args["only"].as<std::string>();
  int code = 0;
  if (only.empty() || only == "calls") {
    ClusterOptions cluster;
    cluster.engine_arguments = {"--decode-us", "500",     "--prefill-us",
                                "1",           "--slots", "64"};
    code = RunWithCluster(cluster, [](Fiber& fiber, Cluster& it) {
      MeasureCalls(fiber, it);
      MeasureTokens(fiber, it);
      MeasureHistory(fiber, it);
    });
  }
  if (only.empty() || only == "servers") {
    MeasureServers(args["daemons"].as<int>(), args["calls"].as<std::string>());
  }
  if (only.empty() || only == "fleets") {
    MeasureFleets(Sizes(args));
  }
  if (only.empty() || only == "states") {
    MeasureStates(Sizes(args));
  }
  return code;
}

}  // namespace
}  // namespace comfreyfold::bench

int main(int argc, char** argv) {
  return comfreyfold::bench::Main(argc, argv);
}
