#ifndef CORE_ADMISSION_CONTROL_H_
#define CORE_ADMISSION_CONTROL_H_

#include <chrono>

#include "core/decision_settings.h"

namespace comfreyfold {

// A call that would join the queue.
struct AdmissionRequest {
  std::chrono::nanoseconds cost{};     // Expected time on a slot.
  std::chrono::nanoseconds backlog{};  // Of its customer, waiting.
  int weight = 1;
  int active_weight = 1;    // Of every customer that waits, this one included.
  int slots = 1;            // That fall to this daemon.
  bool first_call = false;  // Of its program.
  std::chrono::milliseconds left{};  // Until its deadline.
};

struct AdmissionDecision {
  bool accepted = true;
  std::chrono::milliseconds expected_wait{};
  std::chrono::milliseconds retry_after{};  // When refused.
};

// Refuses a call at once when its customer's part of the queue cannot be
// served in time. Each customer is measured against its own share, so one
// that stays within its share is not refused for what others send.
class AdmissionControl {
 public:
  explicit AdmissionControl(const DecisionSettings& settings)
      : settings_(settings) {}

  AdmissionDecision Decide(const AdmissionRequest& question) const;

 private:
  const DecisionSettings& settings_;
};

}  // namespace comfreyfold

#endif  // CORE_ADMISSION_CONTROL_H_
