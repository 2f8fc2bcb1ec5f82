#ifndef STANDINS_ORDER_DESK_H_
#define STANDINS_ORDER_DESK_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "net/http_server.h"

namespace comfreyfold::standins {

// The orders that an engine takes: POST /orders
//   {"kind": "load_model" | "load_adapter" | "set_role", "name": ...,
//    "version": ..., "fencing": N}
// An order with an older number than one carried out is refused with 409,
// or carried out all the same when the desk does not check.
class OrderDesk {
 public:
  explicit OrderDesk(bool checks_fencing) : checks_fencing_(checks_fencing) {}

  void Handle(const HttpRequest& request, HttpExchange& exchange);

  // What is loaded now, and the last number carried out.
  nlohmann::json State() const;
  std::vector<std::string> models() const;
  // Every order that came, in order of arrival, refused ones included.
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

#endif  // STANDINS_ORDER_DESK_H_
