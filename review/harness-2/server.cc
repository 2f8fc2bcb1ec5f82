#include "server.h"

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "net/http_server.h"

namespace comfreyfold::review {

namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
// Requests beyond the slots that a server queues.
constexpr int kQueue = 48;
constexpr int kTokensPerEvent = 4;
constexpr milliseconds kPoll{5};

struct Options {
  std::string id;
  std::string version;
  std::string listen;
  std::string runs;
  std::int64_t born = 0;
  int slots = 16;
  int events = 0;        // Of a stream; 0: as many as Token-Usage allows.
  milliseconds gap{25};  // Between events.
  milliseconds work{40};
};

Options Parse(int argc, char** argv) {
  Options out;
  for (int n = 2; n + 1 < argc; n += 2) {
    const std::string name = argv[n];
    const std::string value = argv[n + 1];
    if (name == "--id") {
      out.id = value;
    } else if (name == "--version") {
      out.version = value;
    } else if (name == "--listen") {
      out.listen = value;
    } else if (name == "--runs") {
      out.runs = value;
    } else if (name == "--born") {
      out.born = std::stoll(value);
    } else if (name == "--slots") {
      out.slots = std::stoi(value);
    } else if (name == "--events") {
      out.events = std::stoi(value);
    } else if (name == "--gap-ms") {
      out.gap = milliseconds(std::stoi(value));
    } else if (name == "--work-ms") {
      out.work = milliseconds(std::stoi(value));
    }
  }
  return out;
}

class Server {
 public:
  explicit Server(Options options) : options_(std::move(options)) {}

  void Handle(Fiber& fiber,
              const HttpRequest& request,
              HttpExchange& exchange) {
    if (request.Path() == "/api/report") {
      ReplyReport(exchange);
      return;
    }
    if (request.Path() == "/health") {
      exchange.Reply(kOk, "text/plain", "",
                     {{"Instance-Id", options_.id}, {"Server-Load", Load()}});
      return;
    }
    const auto id = request.Header("Request-Id");
    std::vector<HttpHeader> headers{{"Request-Id", id},
                                    {"Server-Load", Load()}};
    if (request.Header("Expect-Instance") != options_.id) {
      exchange.Reply(kMisdirected, "text/plain", "", headers);
      return;
    }
    if (running_ >= options_.slots + kQueue) {
      headers.push_back({"Not-Executed", "1"});
      exchange.Reply(kUnavailable, "text/plain", "", headers);
      return;
    }
    ++running_;
    std::ofstream(options_.runs, std::ios::app)
        << id << " " << options_.id << " " << options_.version << " "
        << request.target << "\n";
    headers.push_back({"Response-Signature", "mac." + options_.id + "." + id});
    headers.push_back({"Weight-Versions", "1"});
    if (request.Path().find("/stream/") != std::string::npos) {
      Stream(fiber, request, exchange, headers);
    } else {
      fiber.Sleep(options_.work);
      exchange.Reply(kOk, "text/plain", "answer to " + id, headers);
    }
    --running_;
  }

 private:
  std::string Load() const {
    return std::to_string(std::min(running_, options_.slots)) + "," +
           std::to_string(std::max(0, running_ - options_.slots)) + "," +
           std::to_string(options_.slots);
  }

  void ReplyReport(HttpExchange& exchange) const {
    const nlohmann::json out = {{"stage", "both"},
                                {"models",
                                 {{{"name", "m"},
                                   {"version", 1},
                                   {"adapters", nlohmann::json::array()}}}},
                                {"busy", false},
                                {"seq", 0},
                                {"waiting", 0},
                                {"running", running_},
                                {"kv_used", 0},
                                {"kv_total", 210674},
                                {"handles", 0},
                                {"born", options_.born}};
    exchange.Reply(kOk, "application/json", out.dump());
  }

  int EventsOf(const HttpRequest& request) const {
    const auto usage = request.Header("Token-Usage");
    const auto comma = usage.find(',');
    const int allowed =
        comma == std::string::npos
            ? 4
            : std::atoi(usage.c_str() + comma + 1) / kTokensPerEvent;
    return options_.events > 0 ? std::min(options_.events, allowed) : allowed;
  }

  void Stream(Fiber& fiber,
              const HttpRequest& request,
              HttpExchange& exchange,
              const std::vector<HttpHeader>& headers) {
    const int events = EventsOf(request);
    fiber.Sleep(options_.work);
    exchange.Begin(kOk, "text/event-stream", headers);
    const int last = std::atoi(request.Header("Last-Event-Id").c_str());
    for (int n = last + 1; n <= events && !exchange.PeerGone(); ++n) {
      if (n > last + 1) {
        fiber.Sleep(options_.gap);
      }
      exchange.Write("id: " + std::to_string(n) +
                     "\ndata: " + options_.version + " " + options_.id +
                     " event-" + std::to_string(n) + "\n\n");
    }
    exchange.End();
  }

  Options options_;
  int running_ = 0;
};

}  // namespace

int RunServer(int argc, char** argv) {
  Loop loop;
  Server server(Parse(argc, argv));
  HttpServer http(loop, [&server](Fiber& fiber, const HttpRequest& request,
                                  HttpExchange& exchange) {
    server.Handle(fiber, request, exchange);
  });
  const auto options = Parse(argc, argv);
  std::cout << "{\"listening\":\"" << http.Listen(options.listen) << "\"}"
            << std::endl;
  loop.OnTermination([] { std::quick_exit(0); });
  loop.Run();
  return 0;
}

}  // namespace comfreyfold::review
