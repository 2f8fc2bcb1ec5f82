#include "standins/faults.h"

#include <nlohmann/json.hpp>

namespace comfreyfold::standins {

bool Faults::Handle(const HttpRequest& request, HttpExchange& exchange) {
  if (request.Path() != "/fault") {
    return false;
  }
  const auto body = nlohmann::json::parse(request.body);
  auto& fault = faults_[body.at("name").get<std::string>()];
  fault.count = body.value("count", -1);
  fault.delay = std::chrono::milliseconds(body.value("delay_ms", 0));
  exchange.Reply(200, "application/json", "{}");
  return true;
}

bool Faults::ApplyBeforeRequest(Fiber& fiber, HttpExchange& exchange) {
  if (Trigger("out")) {
    exchange.Abort();
    return false;
  }
  if (Trigger("slow")) {
    fiber.Sleep(Delay("slow"));
  }
  return true;
}

bool Faults::Trigger(const std::string& name) {
  const auto it = faults_.find(name);
  if (it == faults_.end() || it->second.count == 0) {
    return false;
  }
  if (it->second.count > 0) {
    --it->second.count;
  }
  ++triggered_[name];
  return true;
}

std::chrono::milliseconds Faults::Delay(const std::string& name) const {
  const auto it = faults_.find(name);
  return it == faults_.end() ? std::chrono::milliseconds() : it->second.delay;
}

}  // namespace comfreyfold::standins
