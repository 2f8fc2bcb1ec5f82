#include "standins/order_handler.h"

#include <algorithm>

namespace comfreyfold::standins {

using nlohmann::json;

void OrderHandler::Handle(const HttpRequest& request, HttpExchange& exchange) {
  const auto order = json::parse(request.body);
  const auto fencing = order.value("fencing", std::int64_t{0});
  const bool outdated = fencing < fencing_;
  auto record = order;
  record["sender"] = request.Header("X-Daemon");
  record["old"] = outdated;
  record["carried_out"] = !(outdated && checks_fencing_);
  audit_.push_back(record);
  if (outdated && checks_fencing_) {
    exchange.Reply(409, "application/json", State().dump());
    return;
  }
  fencing_ = std::max(fencing_, fencing);
  const auto kind = order.at("kind").get<std::string>();
  const auto name = order.at("name").get<std::string>();
  if (kind == "load_model") {
    models_[name] = order.at("version").get<std::int64_t>();
  } else if (kind == "load_adapter") {
    adapters_[name] = order.at("version").get<std::int64_t>();
  } else {
    role_ = name;
  }
  exchange.Reply(200, "application/json", State().dump());
}

std::vector<std::string> OrderHandler::models() const {
  std::vector<std::string> out;
  for (const auto& [name, version] : models_) {
    out.push_back(name);
  }
  return out;
}

json OrderHandler::State() const {
  return {{"models", models_},
          {"adapters", adapters_},
          {"role", role_},
          {"fencing", fencing_}};
}

}  // namespace comfreyfold::standins
