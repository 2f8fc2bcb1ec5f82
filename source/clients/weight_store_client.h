#ifndef CLIENTS_WEIGHT_STORE_CLIENT_H_
#define CLIENTS_WEIGHT_STORE_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>

#include "net/http_client.h"

namespace comfreyfold {

// Thrown when the weight store did not tell the location of the weights, so no
// order can be sent. `retry_after` is the time to wait before the next request.
class WeightStoreFailure : public std::runtime_error {
 public:
  WeightStoreFailure(const std::string& what, std::chrono::seconds retry_after)
      : std::runtime_error(what), retry_after_(retry_after) {}
  std::chrono::seconds retry_after() const { return retry_after_; }

 private:
  std::chrono::seconds retry_after_;
};

// Client of the platform's weight store, which limits the request rate.
class WeightStoreClient {
 public:
  WeightStoreClient(HttpClient& http,
                    std::string address,
                    std::chrono::milliseconds timeout);

  // Returns the location from which an engine loads these weights. Sends no
  // request until the delay of an earlier 429 reply has passed. Throws
  // WeightStoreFailure.
  std::string Locate(Fiber& fiber,
                     const std::string& name,
                     std::int64_t version);

  bool configured() const { return !address_.empty(); }

 private:
  HttpClient& http_;
  std::string address_;
  std::chrono::milliseconds timeout_;
  std::chrono::steady_clock::time_point next_request_at_;
};

}  // namespace comfreyfold

#endif  // CLIENTS_WEIGHT_STORE_CLIENT_H_
