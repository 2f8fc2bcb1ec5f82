#include "server/program_gate.h"

#include <algorithm>

namespace comfreyfold {

ProgramGate::Pass ProgramGate::Enter(const ProgramKey& program) {
  const auto ticket = next_ticket_++;
  queues_[program].push_back(ticket);
  return {*this, program, ticket};
}

bool ProgramGate::Pass::Wait(Fiber& fiber, std::chrono::milliseconds timeout) {
  return gate_.changed_.WaitUntil(fiber, timeout, [this] {
    return gate_.queues_[program_].front() == ticket_;
  });
}

void ProgramGate::Leave(const ProgramKey& program, std::uint64_t ticket) {
  const auto it = queues_.find(program);
  std::erase(it->second, ticket);
  if (it->second.empty()) {
    queues_.erase(it);
  }
  changed_.NotifyAll();
}

}  // namespace comfreyfold
