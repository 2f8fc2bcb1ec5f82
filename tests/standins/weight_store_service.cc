#include "standins/weight_store_service.h"

#include <nlohmann/json.hpp>

namespace comfreyfold::standins {

using nlohmann::json;

bool WeightStoreService::Allowed() {
  const auto now = std::chrono::steady_clock::now();
  if (now - second_ >= std::chrono::seconds(1)) {
    second_ = now;
    reads_ = 0;
  }
  return ++reads_ <= reads_per_second_;
}

void WeightStoreService::Handle(Fiber& fiber,
                                const HttpRequest& request,
                                HttpExchange& exchange) {
  if (faults_.Handle(request, exchange)) {
    return;
  }
  const auto path = request.Path();
  if (path == "/audit") {
    exchange.Reply(200, "application/json",
                   json{{"served", served_}, {"refused", refused_}}.dump());
    return;
  }
  if (!faults_.Pass(fiber, exchange)) {
    return;
  }
  if (!Allowed()) {
    ++refused_;
    exchange.Reply(429, "application/json", "{}", {{"Retry-After", "1"}});
    return;
  }
  if (path.rfind("/weights/", 0) != 0) {
    exchange.Reply(404, "application/json", "{}");
    return;
  }
  ++served_[path.substr(9)];
  exchange.Reply(200, "application/json",
                 json{{"location", "store:" + path.substr(9)}}.dump());
}

}  // namespace comfreyfold::standins
