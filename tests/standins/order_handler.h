#ifndef STANDINS_ORDER_HANDLER_H_
#define STANDINS_ORDER_HANDLER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "net/http_server.h"

namespace comfreyfold::standins {

// Handles the placement orders to an engine: POST /orders
//   {"kind": "load_model" | "load_adapter" | "set_role", "name": ...,
//    "version": ..., "fencing": N}
// An order with a lower fencing number than one executed before is refused with
// 409, or executed as well if fencing is not checked.
class OrderHandler {
 public:
  explicit OrderHandler(bool checks_fencing)
      : checks_fencing_(checks_fencing) {}

  void Handle(const HttpRequest& request, HttpExchange& exchange);

  // Returns the loaded models and adapters, the role, and the highest fencing
  // number executed.
  nlohmann::json State() const;
  std::vector<std::string> models() const;
  // Returns all orders received, in order of arrival, including refused ones.
  const nlohmann::json& audit() const { return audit_; }

 private:
  bool checks_fencing_;
  std::int64_t fencing_ = 0;
  std::map<std::string, std::int64_t> models_;    // Name to version.
  std::map<std::string, std::int64_t> adapters_;  // Name to version.
  std::string role_ = "mixed";
  nlohmann::json audit_ = nlohmann::json::array();
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_ORDER_HANDLER_H_
