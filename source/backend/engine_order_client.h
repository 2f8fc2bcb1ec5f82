#ifndef BACKEND_ENGINE_ORDER_CLIENT_H_
#define BACKEND_ENGINE_ORDER_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "backend/engine_client.h"
#include "core/placement.h"

namespace comfreyfold {

// An order to one engine. Of two orders the one with the higher fencing
// number is the newer.
struct EngineOrder {
  Placement placement;
  std::int64_t fencing = 0;
  std::string location;  // Of the weights; empty for a role.
  std::string sender;    // Daemon id, for the engine's own log.
  std::chrono::milliseconds timeout{5000};
};

// The engine has carried out a newer order.
class OrderRefused : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Tells engines what to load and which role to take.
class EngineOrderClient {
 public:
  explicit EngineOrderClient(HttpClient& http) : http_(http) {}

  // What the engine has loaded. Throws BackendFailure.
  EngineState Read(Fiber& fiber, const std::string& address);

  // Returns the engine's state after the order. Throws OrderRefused or
  // BackendFailure, after which the order may have been carried out.
  EngineState Send(Fiber& fiber,
                   const std::string& address,
                   const EngineOrder& order);

 private:
  HttpClient& http_;
};

}  // namespace comfreyfold

#endif  // BACKEND_ENGINE_ORDER_CLIENT_H_
