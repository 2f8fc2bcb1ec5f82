#ifndef SERVER_PROGRAM_GATE_H_
#define SERVER_PROGRAM_GATE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>

#include "core/lane_state.h"
#include "net/loop.h"

namespace comfreyfold {

// Lets the calls of one program pass one at a time, in order of arrival.
class ProgramGate {
 public:
  explicit ProgramGate(Loop& loop) : changed_(loop) {}

  // Holds a program's turn for as long as it lives.
  class Pass {
   public:
    Pass(ProgramGate& gate, ProgramKey program, std::uint64_t ticket)
        : gate_(gate), program_(std::move(program)), ticket_(ticket) {}
    ~Pass() { gate_.Leave(program_, ticket_); }
    Pass(const Pass&) = delete;
    Pass& operator=(const Pass&) = delete;

    // Waits for the turn; false when `timeout` passed first.
    bool Wait(Fiber& fiber, std::chrono::milliseconds timeout);

   private:
    ProgramGate& gate_;
    ProgramKey program_;
    std::uint64_t ticket_;
  };

  // Queues for `program`'s turn.
  Pass Enter(const ProgramKey& program);

 private:
  void Leave(const ProgramKey& program, std::uint64_t ticket);

  std::map<ProgramKey, std::deque<std::uint64_t>> queues_;
  std::uint64_t next_ticket_ = 1;
  Condition changed_;
};

}  // namespace comfreyfold

#endif  // SERVER_PROGRAM_GATE_H_
