#include "standins/tool_service.h"

#include <nlohmann/json.hpp>

namespace comfreyfold::standins {

using nlohmann::json;

void ToolService::Handle(Fiber& fiber,
                         const HttpRequest& request,
                         HttpExchange& exchange) {
  if (faults_.Handle(request, exchange)) {
    return;
  }
  const auto path = request.Path();
  if (path == "/audit") {
    json out = json::array();
    for (const auto& it : runs_) {
      out.push_back({{"tool", it.tool},
                     {"key", it.idempotency_key},
                     {"program", it.program},
                     {"body", it.body},
                     {"time_us", it.arrival_us}});
    }
    exchange.Reply(
        200, "application/json",
        json{
            {"runs", out}, {"refused", refused_count_}, {"draining", draining_}}
            .dump());
    return;
  }
  if (path == "/load") {
    exchange.Reply(200, "application/json",
                   json{{"running", running_}, {"draining", draining_}}.dump());
    return;
  }
  if (path == "/drain") {
    draining_ = true;
    exchange.Reply(200, "application/json", "{}");
    return;
  }
  if (!faults_.ApplyBeforeRequest(fiber, exchange)) {
    return;
  }
  if (faults_.Trigger("refuse")) {
    ++refused_count_;
    exchange.Reply(503, "application/json", R"({"error":"not run"})");
    return;
  }
  const auto tool = path.substr(path.rfind('/') + 1);
  const auto now = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  runs_.push_back({tool, request.Header("Idempotency-Key"),
                   request.Header("X-Program"), request.body, now.count()});
  const auto run_number = runs_.size();
  ++running_;
  fiber.Sleep(work_time_);
  for (const auto* fault : {"hang", "late"}) {
    if (faults_.Trigger(fault)) {
      fiber.Sleep(faults_.Delay(fault));
    }
  }
  --running_;
  if (faults_.Trigger("lost_answer")) {
    exchange.Abort();
    return;
  }
  exchange.Reply(
      200, "application/json",
      json{{"tool", tool}, {"result", "done"}, {"run", run_number}}.dump());
}

}  // namespace comfreyfold::standins
