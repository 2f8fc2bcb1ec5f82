#include "standins/platform_server.h"

#include <algorithm>
#include <cstdlib>

#include <nlohmann/json.hpp>

namespace comfreyfold::standins {

namespace {

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr std::chrono::milliseconds kStep{5};

}  // namespace

PlatformServer::PlatformServer(Loop& loop,
                               std::string id,
                               std::chrono::milliseconds work)
    : loop_(loop), id_(std::move(id)), work_(work) {}

std::vector<HttpHeader> PlatformServer::Headers(
    const std::string& request_id) const {
  std::vector<HttpHeader> out{{"Request-Id", request_id},
                              {"Server-Load", "1,0,8"}};
  return out;
}

int PlatformServer::RunsOf(const std::string& request_id) const {
  return static_cast<int>(std::count_if(
      runs_.begin(), runs_.end(),
      [&request_id](const auto& it) { return it.request_id == request_id; }));
}

void PlatformServer::Audit(HttpExchange& exchange) const {
  nlohmann::json out = nlohmann::json::object();
  for (const auto& it : runs_) {
    out[it.request_id] = out.value(it.request_id, 0) + 1;
  }
  exchange.Reply(kOk, "application/json", out.dump());
}

bool PlatformServer::Work(Fiber& fiber,
                          HttpExchange& exchange,
                          Run& run) const {
  const auto until = std::chrono::steady_clock::now() + work_;
  while (std::chrono::steady_clock::now() < until) {
    fiber.Sleep(std::min(kStep, work_));
    if (exchange.PeerGone()) {
      run.client_disconnected = true;
      return false;
    }
  }
  return true;
}

void PlatformServer::Handle(Fiber& fiber,
                            const HttpRequest& request,
                            HttpExchange& exchange) {
  if (faults_.Handle(request, exchange)) {
    return;
  }
  if (request.Path() == "/audit") {
    Audit(exchange);
    return;
  }
  const auto request_id = request.Header("Request-Id");
  auto headers = Headers(request_id);
  if (request.Header("Expect-Instance") != id_) {
    exchange.Reply(kMisdirected, "text/plain", "", headers);
    return;
  }
  if (faults_.Due("refuse")) {
    headers.push_back({"Not-Executed", "1"});
    exchange.Reply(kUnavailable, "text/plain", "", headers);
    return;
  }
  runs_.push_back({request_id, request, false});
  const auto n = runs_.size() - 1;
  if (!Work(fiber, exchange, runs_[n])) {
    return;
  }
  if (faults_.Due("lost_answer")) {
    exchange.Abort();
    return;
  }
  if (faults_.Due("stranger")) {
    auto strange = Headers("somebody-else");
    strange.push_back({"Response-Signature", "strange"});
    exchange.Reply(kOk, "text/plain", "not yours", strange);
  }
  if (!faults_.Due("unsigned")) {
    headers.push_back({"Response-Signature", "signed-" + request_id});
  }
  if (request.Path().find("/stream/") != std::string::npos) {
    exchange.Begin(kOk, "text/event-stream", headers);
    Stream(fiber, request, exchange);
  } else {
    exchange.Reply(kOk, "text/plain", "answer to " + request.body, headers);
  }
}

void PlatformServer::Stream(Fiber& fiber,
                            const HttpRequest& request,
                            HttpExchange& exchange) {
  const int first = std::atoi(request.Header("Last-Event-Id").c_str());
  for (int n = first + 1; n <= kEvents; ++n) {
    exchange.Write("id: " + std::to_string(n) + "\ndata: event-" +
                   std::to_string(n) + "\n\n");
    if (faults_.Due("cut")) {
      exchange.Abort();
      return;
    }
    if (n < kEvents) {
      fiber.Sleep(kStep);
    }
  }
  exchange.End();
}

}  // namespace comfreyfold::standins
