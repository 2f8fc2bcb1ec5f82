#ifndef CLIENTS_WEIGHT_STORE_CLIENT_H_
#define CLIENTS_WEIGHT_STORE_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>

#include "net/http_client.h"

namespace comfreyfold {

// The weight store did not say where the weights lie. Nothing was ordered;
// `retry_after` says when to ask again.
class WeightStoreFailure : public std::runtime_error {
 public:
  WeightStoreFailure(const std::string& what, std::chrono::seconds retry_after)
      : std::runtime_error(what), retry_after_(retry_after) {}
  std::chrono::seconds retry_after() const { return retry_after_; }

 private:
  std::chrono::seconds retry_after_;
};

// The platform's weight store, which limits the rate of its readers.
class WeightStoreClient {
 public:
  WeightStoreClient(HttpClient& http,
                    std::string address,
                    std::chrono::milliseconds timeout);

  // Where an engine finds these weights. Asks nothing before the time that
  // an earlier refusal has named. Throws WeightStoreFailure.
  std::string Locate(Fiber& fiber,
                     const std::string& name,
                     std::int64_t version);

  bool configured() const { return !address_.empty(); }

 private:
  HttpClient& http_;
  std::string address_;
  std::chrono::milliseconds timeout_;
  std::chrono::steady_clock::time_point not_before_;
};

}  // namespace comfreyfold

#endif  // CLIENTS_WEIGHT_STORE_CLIENT_H_
