#ifndef SERVER_PROGRAM_GATE_H_
#define SERVER_PROGRAM_GATE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

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

    // True when another try of the same call is ahead, or has its turn.
    bool FollowsSameCall() const;

   private:
    ProgramGate& gate_;
    ProgramKey program_;
    std::uint64_t ticket_;
  };

  // Queues the call of that key for `program`'s turn.
  Pass Enter(const ProgramKey& program, const std::string& key);

 private:
  struct Place {
    std::uint64_t ticket = 0;
    std::string key;
  };

  void Leave(const ProgramKey& program, std::uint64_t ticket);

  std::map<ProgramKey, std::deque<Place>> queues_;
  std::uint64_t next_ticket_ = 1;
  Condition changed_;
};

}  // namespace comfreyfold

#endif  // SERVER_PROGRAM_GATE_H_
