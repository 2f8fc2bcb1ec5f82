// The stand-ins for the outside systems, one a process:
//   comfreyfold_standin --kind kv|engine|tools|vms --listen 127.0.0.1:0
// Prints {"listening":"ip:port"} once it serves.

#include <iostream>
#include <memory>

#include <cxxopts.hpp>

#include "standins/engine_service.h"
#include "standins/kv_service.h"
#include "standins/tool_service.h"
#include "standins/vm_list_service.h"

namespace comfreyfold::standins {
namespace {

std::unique_ptr<Service> Make(Loop& loop, const cxxopts::ParseResult& args) {
  const auto kind = args["kind"].as<std::string>();
  if (kind == "kv") {
    return std::make_unique<KvService>(loop);
  }
  if (kind == "engine") {
    EngineCosts costs;
    costs.prefill_per_token =
        std::chrono::microseconds(args["prefill-us"].as<int>());
    costs.decode_per_token =
        std::chrono::microseconds(args["decode-us"].as<int>());
    costs.slots = args["slots"].as<int>();
    return std::make_unique<EngineService>(loop, costs);
  }
  if (kind == "tools") {
    return std::make_unique<ToolService>(
        std::chrono::milliseconds(args["work-ms"].as<int>()));
  }
  if (kind == "vms") {
    return std::make_unique<VmListService>();
  }
  throw std::runtime_error("--kind '" + kind +
                           "': write kv, engine, tools or vms");
}

int Main(int argc, char** argv) {
  cxxopts::Options options("comfreyfold_standin",
                           "Stand-ins for the outside systems");
  options.add_options()("kind", "kv, engine, tools or vms",
                        cxxopts::value<std::string>())(
      "listen", "ip:port to serve",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "prefill-us", "engine: us a prompt token",
      cxxopts::value<int>()->default_value("20"))(
      "decode-us", "engine: us a generated token",
      cxxopts::value<int>()->default_value("2000"))(
      "slots", "engine: turns at a time",
      cxxopts::value<int>()->default_value("8"))(
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
