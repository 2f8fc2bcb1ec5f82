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

// Serializes the calls of each program: they run one at a time, in order of
// arrival.
class ProgramGate {
 public:
  explicit ProgramGate(Loop& loop) : changed_(loop) {}

  // A call's entry in its program's queue. The call may run once its entry is
  // at the front; destroying the pass removes the entry.
  class Pass {
   public:
    Pass(ProgramGate& gate, ProgramKey program, std::uint64_t ticket)
        : gate_(gate), program_(std::move(program)), ticket_(ticket) {}
    ~Pass() { gate_.Leave(program_, ticket_); }
    Pass(const Pass&) = delete;
    Pass& operator=(const Pass&) = delete;

    // Waits until the entry is at the front. Returns false when `timeout`
    // passes first.
    bool Wait(Fiber& fiber, std::chrono::milliseconds timeout);

    // Returns whether an attempt of the same call is ahead in the queue, which
    // includes the running one.
    bool FollowsSameCall() const;

   private:
    ProgramGate& gate_;
    ProgramKey program_;
    std::uint64_t ticket_;
  };

  // Appends the call with that key to the queue of `program`.
  Pass Enter(const ProgramKey& program, const std::string& key);

 private:
  struct Entry {
    std::uint64_t ticket = 0;
    std::string key;
  };

  void Leave(const ProgramKey& program, std::uint64_t ticket);

  std::map<ProgramKey, std::deque<Entry>> queues_;
  std::uint64_t next_ticket_ = 1;
  Condition changed_;
};

}  // namespace comfreyfold

#endif  // SERVER_PROGRAM_GATE_H_
