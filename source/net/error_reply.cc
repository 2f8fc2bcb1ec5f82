#include "net/error_reply.h"

#include <nlohmann/json.hpp>

namespace comfreyfold {

std::string ErrorBody(const CallError& error) {
  const nlohmann::json body = {{"error",
                                {{"code", error.code()},
                                 {"message", error.what()},
                                 {"type", "comfreyfold_error"},
                                 {"verdict", ToString(error.verdict())}}}};
  // The message may quote client input that is not valid UTF-8; invalid bytes
  // are replaced.
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void ReplyError(HttpExchange& exchange, const CallError& error) {
  std::vector<HttpHeader> headers{
      {"Comfreyfold-Verdict", std::string(ToString(error.verdict()))}};
  if (error.retry_after().count() > 0) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(error.retry_after());
    headers.push_back({"Retry-After", std::to_string(seconds.count())});
  }
  exchange.Reply(error.status(), "application/json", ErrorBody(error), headers);
}

}  // namespace comfreyfold
