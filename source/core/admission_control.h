#ifndef CORE_ADMISSION_CONTROL_H_
#define CORE_ADMISSION_CONTROL_H_

#include <chrono>

#include "core/decision_settings.h"

namespace comfreyfold {

// A call that asks to join the queue.
struct AdmissionRequest {
  std::chrono::nanoseconds cost{};     // Expected time on a slot.
  std::chrono::nanoseconds backlog{};  // Cost of its customer's waiting calls.
  int weight = 1;                      // Of its customer.
  // Sum of the weights of all customers with waiting calls, including this one.
  int active_weight = 1;
  int slots = 1;            // This daemon's share of all slots.
  bool first_call = false;  // Whether it is the first of its program.
  std::chrono::milliseconds time_left{};  // Until its deadline; 0: none.
};

struct AdmissionDecision {
  bool accepted = true;
  std::chrono::milliseconds expected_wait{};
  std::chrono::milliseconds retry_after{};  // Set when refused.
};

// Refuses a call at once when its customer's part of the queue cannot be served
// in time. Each customer is measured against its own share of the slots, so
// that calls of others do not cause refusals for a customer within its share.
class AdmissionControl {
 public:
  explicit AdmissionControl(const DecisionSettings& settings)
      : settings_(settings) {}

  AdmissionDecision Decide(const AdmissionRequest& request) const;

 private:
  const DecisionSettings& settings_;
};

}  // namespace comfreyfold

#endif  // CORE_ADMISSION_CONTROL_H_
