#ifndef SERVER_ORDER_FENCE_H_
#define SERVER_ORDER_FENCE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "clients/kv_client.h"

namespace comfreyfold {

// Leave to send one order to one engine.
struct OrderPermit {
  std::int64_t fencing = 0;
  // For engines that do not check the number: the order must have been
  // answered by then. Counted from before the claim was asked for.
  std::chrono::steady_clock::time_point valid_until;
  std::int64_t lease = 0;  // Of the claim; 0: none.
};

// Numbers the orders to each engine, from the key-value service.
class OrderFence {
 public:
  OrderFence(KvClient& kv, std::string daemon, std::chrono::seconds claim_time)
      : kv_(kv), daemon_(std::move(daemon)), claim_time_(claim_time) {}

  // A higher number than any before, granted only while the contracts
  // stand at `revision`, so that an old plan gets no new number. With
  // `claim`, only one daemon holds a permit at a time. Nothing when another
  // daemon is acting or the plan is old. Throws KvUnavailable.
  std::optional<OrderPermit> Acquire(Fiber& fiber,
                                     const std::string& engine,
                                     std::int64_t revision,
                                     bool claim);

  // Gives the claim up early; without it its lease runs out.
  void Release(Fiber& fiber, const OrderPermit& permit);

 private:
  KvClient& kv_;
  std::string daemon_;
  std::chrono::seconds claim_time_;
};

}  // namespace comfreyfold

#endif  // SERVER_ORDER_FENCE_H_
