#include "server/program_reaper.h"

#include <vector>

#include "core/program_limits.h"
#include "server/call_context.h"

namespace comfreyfold {

namespace {

constexpr std::chrono::milliseconds kScanInterval{1000};
constexpr std::chrono::milliseconds kAppendTimeout{2000};

// Programs with a call in flight are not ended, because the call would allocate
// engine memory again after the release.
bool HasCallInFlight(const ProgramState& program, std::int64_t epoch) {
  return !program.calls.empty() && !program.calls.back().done &&
         program.calls.back().epoch == epoch;
}

}  // namespace

void ProgramReaper::Start() {
  loop_.Spawn([this](Fiber& fiber) {
    while (true) {
      fiber.Sleep(kScanInterval);
      // A copy, because lanes are added and removed while this fiber waits for
      // the journal.
      const auto owned = lanes_.owned();
      for (const auto& [lane, owner] : owned) {
        EndExpiredPrograms(fiber, *owner);
      }
    }
  });
}

void ProgramReaper::EndExpiredPrograms(Fiber& fiber, LaneOwner& owner) {
  const auto now = WallClock();
  std::vector<LaneEntry> end_entries;
  for (const auto& [key, program] : owner.state().programs()) {
    const auto contract = contracts_.FindByName(key.customer);
    if (program.ended || !contract || HasCallInFlight(program, owner.epoch()) ||
        (!TimeLimitExceeded(program, *contract, now) &&
         !IdleLimitExceeded(program, *contract, now))) {
      continue;
    }
    LaneEntry entry;
    entry.kind = EntryKind::kProgramEnded;
    entry.customer = key.customer;
    entry.program = key.program;
    entry.target = TimeLimitExceeded(program, *contract, now) ? "time_limit"
                                                              : "idle_limit";
    end_entries.push_back(entry);
  }
  if (end_entries.empty()) {
    return;
  }
  try {
    owner.Append(fiber, end_entries, kAppendTimeout);
  } catch (const std::runtime_error&) {
    // The next scan tries again, here or at the lane's next owner.
    return;
  }
  for (const auto& it : end_entries) {
    log_.Write({.name = "program_ended",
                .customer = it.customer,
                .program = it.program,
                .lane = owner.lane(),
                .epoch = owner.epoch(),
                .detail = it.target});
  }
}

}  // namespace comfreyfold
