#ifndef SERVER_ORDER_FENCE_H_
#define SERVER_ORDER_FENCE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "clients/kv_client.h"

namespace comfreyfold {

// Permission to send one order to one engine.
struct OrderPermit {
  std::int64_t fencing = 0;
  // Time by which an engine that does not check fencing numbers must have
  // answered the order. It is counted from before the claim was requested.
  std::chrono::steady_clock::time_point valid_until;
  std::int64_t lease = 0;  // Lease of the claim; 0 when there is no claim.
};

// Issues fencing numbers for the orders to each engine, using the key-value
// service.
class OrderFence {
 public:
  OrderFence(KvClient& kv, std::string daemon, std::chrono::seconds claim_time)
      : kv_(kv), daemon_(std::move(daemon)), claim_time_(claim_time) {}

  // Returns a permit with a number higher than any issued before. It is granted
  // only while the contracts are at `revision`, so that an outdated plan gets
  // no new number. With `claim`, only one daemon holds a permit for the engine
  // at a time. Returns nothing when another daemon holds the claim or was
  // issued a number at the same time, or when the plan is outdated. Throws
  // KvUnavailable.
  std::optional<OrderPermit> Acquire(Fiber& fiber,
                                     const std::string& engine,
                                     std::int64_t revision,
                                     bool claim);

  // Releases the claim before its lease expires.
  void Release(Fiber& fiber, const OrderPermit& permit);

 private:
  KvClient& kv_;
  std::string daemon_;
  std::chrono::seconds claim_time_;
};

}  // namespace comfreyfold

#endif  // SERVER_ORDER_FENCE_H_
