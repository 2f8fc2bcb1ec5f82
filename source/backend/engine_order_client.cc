#include "backend/engine_order_client.h"

#include <nlohmann/json.hpp>

#include "net/json_parser.h"

namespace comfreyfold {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kReadTimeout{1000};
constexpr int kHttpConflict = 409;

const char* OrderKind(PlacementKind kind) {
  switch (kind) {
    case PlacementKind::kModel:
      return "load_model";
    case PlacementKind::kAdapter:
      return "load_adapter";
    case PlacementKind::kRole:
      return "set_role";
  }
  return "";
}

EngineState ParseEngineState(const HttpReply& reply) {
  const auto body = ParseJson(reply.body);
  if (reply.status != 200 || !body.is_object()) {
    throw BackendFailure("engine answered the /orders request with status " +
                             std::to_string(reply.status),
                         Verdict::kMayHaveRun);
  }
  using Versions = std::map<std::string, std::int64_t>;
  EngineState out;
  out.models = body.value("models", Versions());
  out.adapters = body.value("adapters", Versions());
  out.role = body.value("role", std::string());
  out.fencing = body.value("fencing", std::int64_t{0});
  return out;
}

HttpReply SendOnNewConnection(Fiber& fiber,
                              HttpClient& http,
                              const std::string& address,
                              const HttpRequest& request,
                              std::chrono::milliseconds timeout) {
  HttpOptions options;
  options.connect_timeout = timeout;
  options.idle_timeout = timeout;
  // If the engine has closed a pooled connection, it is unknown whether the
  // order was carried out, and the order is sent again later.
  options.fresh_connection = true;
  try {
    return http.Send(fiber, address, request, options);
  } catch (const HttpFailure& e) {
    throw BackendFailure(e.what(),
                         e.sent() ? Verdict::kMayHaveRun : Verdict::kNotRun);
  }
}

}  // namespace

EngineState EngineOrderClient::Read(Fiber& fiber, const std::string& address) {
  return ParseEngineState(SendOnNewConnection(
      fiber, http_, address, {"GET", "/orders", {}, {}}, kReadTimeout));
}

EngineState EngineOrderClient::Send(Fiber& fiber,
                                    const std::string& address,
                                    const EngineOrder& order) {
  const json body = {{"kind", OrderKind(order.placement.kind)},
                     {"name", order.placement.name},
                     {"version", order.placement.version},
                     {"location", order.location},
                     {"fencing", order.fencing}};
  const auto reply = SendOnNewConnection(
      fiber, http_, address,
      {"POST",
       "/orders",
       {{"Content-Type", "application/json"}, {"X-Daemon", order.sender}},
       body.dump()},
      order.timeout);
  if (reply.status == kHttpConflict) {
    throw OrderRefused(
        "the engine has carried out an order newer than fencing number " +
        std::to_string(order.fencing));
  }
  return ParseEngineState(reply);
}

}  // namespace comfreyfold
