#ifndef SERVER_CALL_CONTEXT_H_
#define SERVER_CALL_CONTEXT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <stdexcept>

#include "core/contract.h"
#include "core/lane_state.h"
#include "server/budget_reservation.h"
#include "server/lane_owner.h"
#include "wire/codec.h"

namespace comfreyfold {

// Receives the frames of an answer as they arrive.
using FrameSink = std::function<void(const AnswerFrame&)>;

// Thrown when this daemon does not own the program's lane, or owns it no
// longer. The call has to be sent to the lane's owner.
class NotOwner : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns the time since the Unix epoch.
std::chrono::milliseconds WallClock();

// The state of one call while the lane's owner processes it.
struct CallContext {
  const ForwardedCall& call;
  const FrameSink& sink;
  std::shared_ptr<LaneOwner> lane;
  std::shared_ptr<const Contract> contract;
  ProgramKey program;
  std::chrono::steady_clock::time_point deadline;
  std::int64_t call_number = 0;  // Position in the program, from 1.
  std::chrono::steady_clock::time_point started =
      std::chrono::steady_clock::now();
  // The verdict of earlier attempts with the same key.
  Verdict earlier_verdict = Verdict::kNotRun;
  BudgetReservation budget{};

  // The time until the deadline, at least one millisecond.
  std::chrono::milliseconds time_left() const;

  // The program's state in the journal, or null before its first call.
  const ProgramState* state() const;

  // A hash of the request. It detects different requests under the same key.
  std::uint64_t Digest() const;

  // Returns a journal entry of `kind` for this call. The entry of kind
  // kCallBegun is the call's intent.
  LaneEntry MakeEntry(EntryKind kind) const;
};

}  // namespace comfreyfold

#endif  // SERVER_CALL_CONTEXT_H_
