// Runs one stand-in for an outside system:
//   comfreyfold_standin --kind kv|engine|tools|vms|weights --listen 127.0.0.1:0
// Prints {"listening":"ip:port"} once it accepts connections.

#include <iostream>
#include <memory>

#include <cxxopts.hpp>

#include "standins/engine_service.h"
#include "standins/kv_service.h"
#include "standins/tool_service.h"
#include "standins/vm_list_service.h"
#include "standins/weight_store_service.h"

namespace comfreyfold::standins {
namespace {

EngineOptions EngineOptionsFrom(const cxxopts::ParseResult& args) {
  using std::chrono::microseconds;
  using std::chrono::milliseconds;
  EngineOptions out;
  out.prefill_per_token = microseconds(args["prefill-us"].as<int>());
  out.decode_per_token = microseconds(args["decode-us"].as<int>());
  out.slots = args["slots"].as<int>();
  out.load_lag = milliseconds(args["load-lag-ms"].as<int>());
  out.checks_fencing = args.count("ignore-fencing") == 0;
  out.cache.memory_tokens = args["memory-tokens"].as<int>();
  out.cache.event_delay = milliseconds(args["event-delay-ms"].as<int>());
  out.cache.event_gap = args["event-gap"].as<int>();
  return out;
}

std::unique_ptr<Service> MakeService(Loop& loop,
                                     const cxxopts::ParseResult& args) {
  const auto kind = args["kind"].as<std::string>();
  if (kind == "kv") {
    return std::make_unique<KvService>(loop);
  }
  if (kind == "engine") {
    return std::make_unique<EngineService>(loop, EngineOptionsFrom(args));
  }
  if (kind == "tools") {
    return std::make_unique<ToolService>(
        std::chrono::milliseconds(args["work-ms"].as<int>()));
  }
  if (kind == "vms") {
    return std::make_unique<VmListService>();
  }
  if (kind == "weights") {
    return std::make_unique<WeightStoreService>(
        args["reads-per-second"].as<int>());
  }
  throw std::runtime_error(
      "--kind '" + kind +
      "' is unknown; use kv, engine, tools, vms or weights");
}

int Main(int argc, char** argv) {
  cxxopts::Options options("comfreyfold_standin",
                           "Runs one stand-in for an outside system");
  options.add_options()("kind", "kv, engine, tools, vms or weights",
                        cxxopts::value<std::string>())(
      "listen", "ip:port to serve",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "prefill-us", "engine: prefill time per prompt token, in us",
      cxxopts::value<int>()->default_value("20"))(
      "decode-us", "engine: decode time per generated token, in us",
      cxxopts::value<int>()->default_value("2000"))(
      "slots", "engine: number of turns that can run at the same time",
      cxxopts::value<int>()->default_value("8"))(
      "load-lag-ms", "engine: age of the reported load, in ms",
      cxxopts::value<int>()->default_value("0"))(
      "memory-tokens",
      "engine: capacity of the prefix cache in tokens, 0: unlimited",
      cxxopts::value<int>()->default_value("0"))(
      "event-delay-ms", "engine: delay of cache events, in ms",
      cxxopts::value<int>()->default_value("0"))(
      "event-gap", "engine: lose every n-th cache event, 0: none",
      cxxopts::value<int>()->default_value("0"))(
      "ignore-fencing",
      "engine: execute orders with an outdated fencing number")(
      "reads-per-second", "weights: maximum number of reads per second",
      cxxopts::value<int>()->default_value("5"))(
      "work-ms", "tools: duration of a call, in ms",
      cxxopts::value<int>()->default_value("2"));
  const auto args = options.parse(argc, argv);
  Loop loop;
  loop.OnError([](const char* what) { std::cerr << what << std::endl; });
  const auto service = MakeService(loop, args);
  HttpLimits limits;
  limits.body_bytes = 256ULL * 1024 * 1024;
  HttpServer server(
      loop,
      [&service](Fiber& fiber, const HttpRequest& request,
                 HttpExchange& exchange) {
        service->Handle(fiber, request, exchange);
      },
      limits);
  std::cout << "{\"listening\":\""
            << server.Listen(args["listen"].as<std::string>()) << "\"}"
            << std::endl;
  loop.OnTermination([] { std::quick_exit(0); });
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace comfreyfold::standins

int main(int argc, char** argv) {
  try {
    return comfreyfold::standins::Main(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << e.what() << std::endl;
    return 2;
  }
}
