#ifndef BACKEND_ENGINE_ORDER_CLIENT_H_
#define BACKEND_ENGINE_ORDER_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "backend/engine_client.h"
#include "core/placement.h"

namespace comfreyfold {

// An order to one engine to load weights or to take a role. The order with
// the higher fencing number is the newer one.
struct EngineOrder {
  Placement placement;
  std::int64_t fencing = 0;
  std::string location;  // Location of the weights; empty for a role.
  std::string sender;    // Id of the sending daemon, for the engine's log.
  std::chrono::milliseconds timeout{5000};
};

// Thrown when an engine refuses an order because it has already carried out a
// newer one.
class OrderRefused : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Client that orders engines to load weights or to take a role.
class EngineOrderClient {
 public:
  explicit EngineOrderClient(HttpClient& http) : http_(http) {}

  // Returns what the engine has loaded. Throws BackendFailure.
  EngineState Read(Fiber& fiber, const std::string& address);

  // Returns the engine's state after the order. Throws OrderRefused, or
  // BackendFailure, in which case the order may have been carried out.
  EngineState Send(Fiber& fiber,
                   const std::string& address,
                   const EngineOrder& order);

 private:
  HttpClient& http_;
};

}  // namespace comfreyfold

#endif  // BACKEND_ENGINE_ORDER_CLIENT_H_
