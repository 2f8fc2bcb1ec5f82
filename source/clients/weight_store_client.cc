#include "clients/weight_store_client.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include <nlohmann/json.hpp>

#include "net/json_parser.h"

namespace comfreyfold {

namespace {
constexpr std::chrono::seconds kMinRetryAfter{1};
constexpr int kTooManyRequests = 429;
}  // namespace

WeightStoreClient::WeightStoreClient(HttpClient& http,
                                     std::string address,
                                     std::chrono::milliseconds timeout)
    : http_(http), address_(std::move(address)), timeout_(timeout) {}

std::string WeightStoreClient::Locate(Fiber& fiber,
                                      const std::string& name,
                                      std::int64_t version) {
  if (std::chrono::steady_clock::now() < next_request_at_) {
    throw WeightStoreFailure("weight store: still waiting after a 429 reply",
                             kMinRetryAfter);
  }
  HttpOptions options;
  options.connect_timeout = timeout_;
  options.idle_timeout = timeout_;
  HttpReply reply;
  try {
    reply = http_.Send(
        fiber, address_,
        {"GET", "/weights/" + name + "/" + std::to_string(version), {}, {}},
        options);
  } catch (const HttpFailure& e) {
    throw WeightStoreFailure(e.what(), kMinRetryAfter);
  }
  if (reply.status == kTooManyRequests) {
    const auto text = reply.Header("Retry-After");
    const std::chrono::seconds requested_delay(
        std::strtol(text.c_str(), nullptr, 10));
    const auto retry_after = std::max(requested_delay, kMinRetryAfter);
    next_request_at_ = std::chrono::steady_clock::now() + retry_after;
    throw WeightStoreFailure("weight store: request rate limit exceeded",
                             retry_after);
  }
  const auto body = ParseJson(reply.body);
  if (reply.status != 200 || !body.is_object()) {
    throw WeightStoreFailure("weight store answered with status " +
                                 std::to_string(reply.status) + " for " + name,
                             kMinRetryAfter);
  }
  return body.value("location", std::string());
}

}  // namespace comfreyfold
