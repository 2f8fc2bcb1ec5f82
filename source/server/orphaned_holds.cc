#include "server/orphaned_holds.h"

#include <algorithm>

namespace comfreyfold {

namespace {
using std::chrono::milliseconds;

constexpr milliseconds kFirstBackoff{200};
constexpr milliseconds kMostBackoff{10000};
}  // namespace

void OrphanedHolds::Add(const ProgramKey& program, const std::string& backend) {
  log_.Write({.name = "hold_after_lane_lost",
              .customer = program.customer,
              .program = program.program,
              .backend = backend});
  loop_.Spawn([this, program, backend](Fiber& fiber) {
    auto backoff = kFirstBackoff;
    while (!Settle(fiber, program, backend)) {
      fiber.Sleep(backoff);
      backoff = std::min(backoff * 2, kMostBackoff);
    }
  });
}

bool OrphanedHolds::Settle(Fiber& fiber,
                           const ProgramKey& program,
                           const std::string& backend) {
  try {
    // The hold of a program under way is in its journal, and is released
    // with the others when it ends.
    if (!program_ended_query_(fiber, program)) {
      return true;
    }
    const auto* server = directory_.Find(backend);
    if (server == nullptr) {
      return false;
    }
    engines_.Release(fiber, std::string(server->vm.address),
                     program.customer + "/" + program.program);
  } catch (const std::runtime_error&) {
    return false;
  }
  return true;
}

}  // namespace comfreyfold
