#include "server/program_gate.h"

#include <algorithm>

namespace comfreyfold {

ProgramGate::Pass ProgramGate::Enter(const ProgramKey& program,
                                     const std::string& key) {
  const auto ticket = next_ticket_++;
  queues_[program].push_back({ticket, key});
  return {*this, program, ticket};
}

bool ProgramGate::Pass::Wait(Fiber& fiber, std::chrono::milliseconds timeout) {
  return gate_.changed_.WaitUntil(fiber, timeout, [this] {
    return gate_.queues_[program_].front().ticket == ticket_;
  });
}

bool ProgramGate::Pass::FollowsSameCall() const {
  const auto& queue = gate_.queues_.at(program_);
  const auto self =
      std::find_if(queue.begin(), queue.end(),
                   [this](const Entry& it) { return it.ticket == ticket_; });
  return std::any_of(queue.begin(), self,
                     [&self](const Entry& it) { return it.key == self->key; });
}

void ProgramGate::Leave(const ProgramKey& program, std::uint64_t ticket) {
  const auto it = queues_.find(program);
  std::erase_if(it->second, [ticket](const Entry& entry) {
    return entry.ticket == ticket;
  });
  if (it->second.empty()) {
    queues_.erase(it);
  }
  changed_.NotifyAll();
}

}  // namespace comfreyfold
