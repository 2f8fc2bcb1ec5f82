#ifndef SERVER_CUSTOMER_SLOTS_H_
#define SERVER_CUSTOMER_SLOTS_H_

#include <chrono>
#include <map>
#include <memory>
#include <string>

#include "core/contract.h"
#include "net/loop.h"
#include "server/lane_manager.h"

namespace comfreyfold {

// Limits the number of model turns that a customer has in flight to the
// concurrency in its contract. The limit is divided among the lanes, so that
// the daemons need no coordination.
class CustomerSlots {
 public:
  CustomerSlots(Loop& loop, LaneManager& lanes)
      : lanes_(lanes), changed_(loop) {}

  // Counts one model turn as in flight for the lifetime of the object.
  class Slot {
   public:
    Slot(CustomerSlots& slots, std::string customer);
    ~Slot();
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;

   private:
    CustomerSlots& slots_;
    std::string customer_;
  };

  // Waits for a slot. Throws CallError (not run) when `deadline` passes.
  Slot Enter(Fiber& fiber,
             const Contract& contract,
             std::chrono::steady_clock::time_point deadline);

 private:
  int SlotsOf(const Contract& contract) const;

  LaneManager& lanes_;
  std::map<std::string, int> in_flight_;
  Condition changed_;
};

}  // namespace comfreyfold

#endif  // SERVER_CUSTOMER_SLOTS_H_
