#include "server/customer_slots.h"

#include <algorithm>
#include <utility>

#include "core/call_error.h"
#include "core/program_limits.h"

namespace comfreyfold {

CustomerSlots::Slot::Slot(CustomerSlots& slots, std::string customer)
    : slots_(slots), customer_(std::move(customer)) {
  ++slots_.in_flight_[customer_];
}

CustomerSlots::Slot::~Slot() {
  if (--slots_.in_flight_[customer_] == 0) {
    slots_.in_flight_.erase(customer_);
  }
  slots_.changed_.NotifyAll();
}

int CustomerSlots::SlotsOf(const Contract& contract) const {
  int out = 0;
  for (const auto& [lane, owner] : lanes_.owned()) {
    out += LaneConcurrency(contract.customer, contract.concurrency, lane,
                           lanes_.lanes());
  }
  // With fewer slots than lanes, the lanes owned here may have none. Their
  // programs can still make progress, one call at a time.
  return std::max(1, out);
}

CustomerSlots::Slot CustomerSlots::Enter(
    Fiber& fiber,
    const Contract& contract,
    std::chrono::steady_clock::time_point deadline) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - std::chrono::steady_clock::now());
  const bool free = changed_.WaitUntil(fiber, left, [&] {
    const auto it = in_flight_.find(contract.customer);
    return it == in_flight_.end() || it->second < SlotsOf(contract);
  });
  if (!free) {
    throw CallError(429, "concurrency_limit",
                    "the customer has reached the number of concurrent model "
                    "turns that its contract allows; retry",
                    Verdict::kNotRun, kRetryLater);
  }
  return {*this, contract.customer};
}

}  // namespace comfreyfold
