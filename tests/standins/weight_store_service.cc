#include "standins/weight_store_service.h"

#include <nlohmann/json.hpp>

namespace comfreyfold::standins {

using nlohmann::json;

bool WeightStoreService::CountRead() {
  const auto now = std::chrono::steady_clock::now();
  if (now - window_start_ >= std::chrono::seconds(1)) {
    window_start_ = now;
    reads_in_window_ = 0;
  }
  return ++reads_in_window_ <= reads_per_second_;
}

void WeightStoreService::Handle(Fiber& fiber,
                                const HttpRequest& request,
                                HttpExchange& exchange) {
  if (faults_.Handle(request, exchange)) {
    return;
  }
  const auto path = request.Path();
  if (path == "/audit") {
    exchange.Reply(
        200, "application/json",
        json{{"served", reads_by_version_}, {"refused", refused_count_}}
            .dump());
    return;
  }
  if (!faults_.ApplyBeforeRequest(fiber, exchange)) {
    return;
  }
  if (!CountRead()) {
    ++refused_count_;
    exchange.Reply(429, "application/json", "{}", {{"Retry-After", "1"}});
    return;
  }
  if (path.rfind("/weights/", 0) != 0) {
    exchange.Reply(404, "application/json", "{}");
    return;
  }
  ++reads_by_version_[path.substr(9)];
  exchange.Reply(200, "application/json",
                 json{{"location", "store:" + path.substr(9)}}.dump());
}

}  // namespace comfreyfold::standins
