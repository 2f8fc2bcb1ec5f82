// What a token of a stream costs entry and owner at the rate at which an
// engine generates, and what delay the caller sees.

#include <algorithm>
#include <iostream>

#include <cxxopts.hpp>

#include "bench_run.h"
#include "figures.h"
#include "process_usage.h"

namespace comfreyfold::bench {
namespace {

using harness::Cluster;
using harness::ClusterOptions;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr double kMedian = 0.5;
constexpr double kTail = 0.95;
constexpr double kMicrosecondsPerMillisecond = 1000;

struct StreamTimes {
  std::vector<double> first_ms;
  std::vector<double> gap_ms;
  std::vector<double> whole_ms;
};

std::chrono::nanoseconds ProcessorTime(Cluster& cluster) {
  std::chrono::nanoseconds out{};
  for (int i = 0; i < cluster.daemons(); ++i) {
    out += ReadUsage(cluster.daemon(i).pid()).processor;
  }
  return out;
}

// One stream to its end; the time of each piece as the caller gets it.
void Follow(Fiber& fiber,
            HttpClient& http,
            const std::string& address,
            const HttpRequest& request,
            StreamTimes& times) {
  const auto start = Clock::now();
  auto last = start;
  bool first = true;
  HttpOptions options;
  options.on_data = [&](std::string_view) {
    const auto now = Clock::now();
    const std::chrono::duration<double, std::milli> time = now - last;
    (first ? times.first_ms : times.gap_ms).push_back(time.count());
    first = false;
    last = now;
  };
  const auto reply = http.Send(fiber, address, request, options);
  if (reply.status != 200) {
    throw std::runtime_error(address + " answered " +
                             std::to_string(reply.status));
  }
  times.whole_ms.push_back(
      std::chrono::duration<double, std::milli>(last - start).count());
}

// `streams` at a time, each entering at a daemon that does not own it;
// returns the processor time of all daemons.
std::chrono::nanoseconds FollowAll(Fiber& fiber,
                                   Cluster& cluster,
                                   int streams,
                                   int tokens,
                                   StreamTimes& times) {
  const LaneMap lanes(cluster);
  int running = streams;
  Condition ended(fiber.loop());
  const auto before = ProcessorTime(cluster);
  for (int i = 0; i < streams; ++i) {
    fiber.loop().Spawn([&, i](Fiber& child) {
      const auto program =
          "s-" + std::to_string(tokens) + "-" + std::to_string(i);
      constexpr std::size_t kBytes = 200;
      const int entry = (lanes.OwnerOf(program) + 1) % cluster.daemons();
      Follow(child, cluster.http(), cluster.daemon(entry).address(),
             Turn(program, program, tokens, kBytes), times);
      --running;
      ended.NotifyAll();
    });
  }
  if (!ended.WaitUntil(fiber, std::chrono::minutes(2),
                       [&running] { return running == 0; })) {
    throw std::runtime_error("streams did not end");
  }
  return ProcessorTime(cluster) - before;
}

void Row(Fiber& fiber, Cluster& cluster, int streams, int tokens) {
  StreamTimes short_times;
  StreamTimes times;
  // Two lengths, so that the cost of the call itself falls out. The warm-up
  // opens the connections.
  FollowAll(fiber, cluster, streams, 2, short_times);
  const auto few = FollowAll(fiber, cluster, streams, 1, short_times);
  const auto many = FollowAll(fiber, cluster, streams, tokens, times);
  const std::chrono::duration<double, std::micro> more = many - few;
  const auto part = [](const std::vector<double>& values, double at) {
    return values.empty() ? 0 : Percentile(values, at);
  };
  std::cout << more.count() / streams / (tokens - 1)
            << " us a token; pieces a stream "
            << static_cast<double>(times.gap_ms.size()) / streams + 1
            << "; first piece median " << part(times.first_ms, kMedian)
            << " ms, p95 " << part(times.first_ms, kTail)
            << "; between pieces median " << part(times.gap_ms, kMedian)
            << " ms, p95 " << part(times.gap_ms, kTail)
            << "; whole stream median " << part(times.whole_ms, kMedian)
            << " ms" << std::endl;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("comfreyfold_streams",
                           "Processor time of a token and its delay");
  options.add_options()("decode-us", "time between tokens at the engines",
                        cxxopts::value<std::vector<int>>()->default_value(
                            "1000,5000,10000,20000,40000"))(
      "coalescing", "values of [calls] token_coalescing; default: the daemon's",
      cxxopts::value<std::vector<std::string>>()->default_value("default"))(
      "streams", "at a time", cxxopts::value<int>()->default_value("32"))(
      "seconds", "of a stream", cxxopts::value<double>()->default_value("4"));
  const auto args = options.parse(argc, argv);
  const int streams = args["streams"].as<int>();
  const double seconds = args["seconds"].as<double>();
  int code = 0;
  for (const auto& coalescing :
       args["coalescing"].as<std::vector<std::string>>()) {
    for (const int decode_us : args["decode-us"].as<std::vector<int>>()) {
      ClusterOptions cluster;
      cluster.engine_arguments = {"--decode-us",  std::to_string(decode_us),
                                  "--prefill-us", "1",
                                  "--slots",      "64"};
      if (coalescing != "default") {
        cluster.settings["calls"] = "token_coalescing = " + coalescing + "\n";
      }
      const int tokens = std::max(
          2, static_cast<int>(seconds * kMicrosecondsPerMillisecond *
                              kMicrosecondsPerMillisecond / decode_us));
      code |= RunWithCluster(cluster, [&](Fiber& fiber, Cluster& it) {
        std::cout << "coalescing " << coalescing << ", a token each "
                  << decode_us / kMicrosecondsPerMillisecond << " ms, "
                  << streams << " streams of " << tokens << ": ";
        Row(fiber, it, streams, tokens);
      });
    }
  }
  return code;
}

}  // namespace
}  // namespace comfreyfold::bench

int main(int argc, char** argv) {
  return comfreyfold::bench::Main(argc, argv);
}
