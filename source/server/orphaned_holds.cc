#include "server/orphaned_holds.h"

#include <algorithm>

namespace comfreyfold {

namespace {
using std::chrono::milliseconds;

constexpr milliseconds kFirstBackoff{200};
constexpr milliseconds kMaxBackoff{10000};
}  // namespace

void OrphanedHolds::Add(const ProgramKey& program, const std::string& backend) {
  log_.Write({.name = "hold_after_lane_lost",
              .customer = program.customer,
              .program = program.program,
              .backend = backend});
  loop_.Spawn([this, program, backend](Fiber& fiber) {
    auto backoff = kFirstBackoff;
    while (!TryRelease(fiber, program, backend)) {
      fiber.Sleep(backoff);
      backoff = std::min(backoff * 2, kMaxBackoff);
    }
  });
}

bool OrphanedHolds::TryRelease(Fiber& fiber,
                               const ProgramKey& program,
                               const std::string& backend) {
  try {
    // The hold of a program that has not ended is in its journal, and is
    // released with its other holds when it ends.
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
