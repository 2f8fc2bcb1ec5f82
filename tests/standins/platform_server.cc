#include "standins/platform_server.h"

#include <algorithm>
#include <cstdlib>

#include <boost/algorithm/string/predicate.hpp>
#include <nlohmann/json.hpp>

namespace comfreyfold::standins {

namespace {

constexpr int kOk = 200;
constexpr int kMisdirectedRequest = 421;
constexpr int kServiceUnavailable = 503;
constexpr std::chrono::milliseconds kPollInterval{5};

}  // namespace

PlatformServer::PlatformServer(Loop& loop,
                               std::string id,
                               std::chrono::milliseconds work_time)
    : loop_(loop), id_(std::move(id)), work_time_(work_time) {}

std::vector<HttpHeader> PlatformServer::ResponseHeaders(
    const std::string& request_id) const {
  std::vector<HttpHeader> out{{"Request-Id", request_id},
                              {"Server-Load", "1,0,8"}};
  if (leaving_) {
    out.push_back({"Server-Leaving", "1"});
  }
  if (!limit_.empty()) {
    out.push_back({"Server-Limit", limit_});
  }
  return out;
}

int PlatformServer::RunsSince(
    std::chrono::steady_clock::time_point since) const {
  return static_cast<int>(std::count_if(
      runs_.begin(), runs_.end(),
      [since](const auto& it) { return it.received_at >= since; }));
}

int PlatformServer::MostRunsWithin(
    std::chrono::milliseconds period,
    std::chrono::steady_clock::time_point since) const {
  int out = 0;
  for (auto first = runs_.begin(); first != runs_.end(); ++first) {
    if (first->received_at >= since) {
      const auto n = std::count_if(first, runs_.end(), [&](const auto& it) {
        return it.received_at < first->received_at + period;
      });
      out = std::max(out, static_cast<int>(n));
    }
  }
  return out;
}

int PlatformServer::RunsOf(const std::string& request_id) const {
  return static_cast<int>(std::count_if(
      runs_.begin(), runs_.end(),
      [&request_id](const auto& it) { return it.request_id == request_id; }));
}

void PlatformServer::ReplyAudit(HttpExchange& exchange) const {
  nlohmann::json out = nlohmann::json::object();
  for (const auto& it : runs_) {
    out[it.request_id] = out.value(it.request_id, 0) + 1;
  }
  exchange.Reply(kOk, "application/json", out.dump());
}

void PlatformServer::ReplyState(Fiber& fiber, HttpExchange& exchange) const {
  nlohmann::json out = {{"running", 0}, {"waiting", 0}};
  if (started_.count() != 0) {
    out["born"] = started_.count();
  }
  const auto text = out.dump();
  exchange.Begin(kOk, "application/json", {});
  exchange.Write(text.substr(0, 1));
  fiber.Sleep(state_time_);
  exchange.Write(text.substr(1));
  exchange.End();
}

bool PlatformServer::SimulateWork(Fiber& fiber,
                                  HttpExchange& exchange,
                                  std::size_t n) {
  const auto deadline = std::chrono::steady_clock::now() + work_time_;
  while (!crashed_ && std::chrono::steady_clock::now() < deadline) {
    fiber.Sleep(std::min(kPollInterval, work_time_));
    if (exchange.PeerGone()) {
      runs_[n].client_disconnected = true;
      return false;
    }
  }
  if (crashed_) {
    exchange.Abort();
  }
  return !crashed_;
}

void PlatformServer::CrashIfAsked(const HttpRequest& request) {
  if (!crashing_body_.empty() &&
      boost::algorithm::ends_with(request.body, crashing_body_)) {
    crashed_ = true;
    stop_listening_();
  }
}

void PlatformServer::Handle(Fiber& fiber,
                            const HttpRequest& request,
                            HttpExchange& exchange) {
  if (faults_.Handle(request, exchange)) {
    return;
  }
  if (request.Path() == "/audit") {
    ReplyAudit(exchange);
    return;
  }
  if (request.Path() == "/api/report") {
    ++state_requests_;
    ReplyState(fiber, exchange);
    return;
  }
  const auto request_id = request.Header("Request-Id");
  auto headers = ResponseHeaders(request_id);
  if (request.Header("Expect-Instance") != id_) {
    exchange.Reply(kMisdirectedRequest, "text/plain", "", headers);
    return;
  }
  if (faults_.Trigger("refuse")) {
    headers.push_back({"Not-Executed", "1"});
    exchange.Reply(kServiceUnavailable, "text/plain", "", headers);
    return;
  }
  runs_.push_back({request_id, request});
  const auto n = runs_.size() - 1;
  Serve(fiber, request, exchange, std::move(headers), n);
  runs_[n].ended = true;
}

void PlatformServer::Serve(Fiber& fiber,
                           const HttpRequest& request,
                           HttpExchange& exchange,
                           std::vector<HttpHeader> headers,
                           std::size_t n) {
  const auto request_id = request.Header("Request-Id");
  CrashIfAsked(request);
  if (!SimulateWork(fiber, exchange, n)) {
    return;
  }
  if (faults_.Trigger("lost_answer")) {
    exchange.Abort();
    return;
  }
  if (faults_.Trigger("stranger")) {
    auto other_headers = ResponseHeaders("somebody-else");
    other_headers.push_back({"Response-Signature", "strange"});
    exchange.Reply(kOk, "text/plain", "not yours", other_headers);
  }
  if (!faults_.Trigger("unsigned")) {
    headers.push_back({"Response-Signature", "signed-" + request_id});
  }
  if (request.Path().find("/stream/") != std::string::npos) {
    exchange.Begin(kOk, "text/event-stream", headers);
    SendEvents(fiber, request, exchange);
  } else {
    exchange.Reply(kOk, "text/plain", "answer to " + request.body, headers);
  }
}

void PlatformServer::SendEvents(Fiber& fiber,
                                const HttpRequest& request,
                                HttpExchange& exchange) {
  const int last_received = std::atoi(request.Header("Last-Event-Id").c_str());
  for (int n = last_received + 1; n <= kEvents; ++n) {
    exchange.Write("id: " + std::to_string(n) + "\ndata: event-" +
                   std::to_string(n) + std::string(event_bytes_, '.') + "\n\n");
    if (faults_.Trigger("cut")) {
      exchange.Abort();
      return;
    }
    if (n < kEvents) {
      fiber.Sleep(kPollInterval);
    }
  }
  exchange.End();
}

}  // namespace comfreyfold::standins
