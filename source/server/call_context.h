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

// Receives an answer piece by piece.
using FrameSink = std::function<void(const AnswerFrame&)>;

// This daemon does not own the program's lane. Nothing was run.
class NotOwner : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Time since 1970.
std::chrono::milliseconds WallClock();

// What one call carries through its steps at the owner.
struct CallContext {
  const ForwardedCall& call;
  const FrameSink& sink;
  std::shared_ptr<LaneOwner> lane;
  std::shared_ptr<const Contract> contract;
  ProgramKey program;
  std::chrono::steady_clock::time_point deadline;
  std::int64_t place = 0;  // In the program, from 1.
  std::chrono::steady_clock::time_point started =
      std::chrono::steady_clock::now();
  Verdict earlier = Verdict::kNotRun;  // Of earlier tries with the same key.
  BudgetReservation budget{};

  // Time left, at least one millisecond.
  std::chrono::milliseconds left() const;

  // The program as the journal knows it; null before its first call.
  const ProgramState* state() const;

  // Tells requests apart that come under the same key.
  std::uint64_t Digest() const;

  // A journal entry about this call, or with kind kCallBegun its intent.
  LaneEntry Entry(EntryKind kind) const;
};

}  // namespace comfreyfold

#endif  // SERVER_CALL_CONTEXT_H_
