// The stand-ins for the outside systems, one a process:
//   comfreyfold_standin --kind kv|engine|tools|vms|weights --listen 127.0.0.1:0
// Prints {"listening":"ip:port"} once it serves.

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

EngineOptions EngineArguments(const cxxopts::ParseResult& args) {
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

std::unique_ptr<Service> Make(Loop& loop, const cxxopts::ParseResult& args) {
  const auto kind = args["kind"].as<std::string>();
  if (kind == "kv") {
    return std::make_unique<KvService>(loop);
  }
  if (kind == "engine") {
    return std::make_unique<EngineService>(loop, EngineArguments(args));
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
  throw std::runtime_error("--kind '" + kind +
                           "': write kv, engine, tools, vms or weights");
}

int Main(int argc, char** argv) {
  cxxopts::Options options("comfreyfold_standin",
                           "Stand-ins for the outside systems");
  options.add_options()("kind", "kv, engine, tools, vms or weights",
                        cxxopts::value<std::string>())(
      "listen", "ip:port to serve",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "prefill-us", "engine: us a prompt token",
      cxxopts::value<int>()->default_value("20"))(
      "decode-us", "engine: us a generated token",
      cxxopts::value<int>()->default_value("2000"))(
      "slots", "engine: turns at a time",
      cxxopts::value<int>()->default_value("8"))(
      "load-lag-ms", "engine: age of the load it reports",
      cxxopts::value<int>()->default_value("0"))(
      "memory-tokens", "engine: most tokens in its cache, 0 without bound",
      cxxopts::value<int>()->default_value("0"))(
      "event-delay-ms", "engine: age at which cache events are published",
      cxxopts::value<int>()->default_value("0"))(
      "event-gap", "engine: every n-th cache event is lost, 0 none",
      cxxopts::value<int>()->default_value("0"))(
      "ignore-fencing", "engine: carry out orders with an old number")(
      "reads-per-second", "weights: most reads a second",
      cxxopts::value<int>()->default_value("5"))(
      "work-ms", "tools: time of a call",
      cxxopts::value<int>()->default_value("2"));
  const auto args = options.parse(argc, argv);
  Loop loop;
  loop.OnError([](const char* what) { std::cerr << what << std::endl; });
  const auto service = Make(loop, args);
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
