#include "server/program_reaper.h"

#include <vector>

#include "core/program_limits.h"
#include "server/call_context.h"

namespace comfreyfold {

namespace {

constexpr std::chrono::milliseconds kInterval{1000};
constexpr std::chrono::milliseconds kAppendTimeout{2000};

// A call in flight would make a hold again after the release.
bool InFlight(const ProgramState& program, std::int64_t epoch) {
  return !program.calls.empty() && !program.calls.back().done &&
         program.calls.back().epoch == epoch;
}

}  // namespace

void ProgramReaper::Start() {
  loop_.Spawn([this](Fiber& fiber) {
    while (true) {
      fiber.Sleep(kInterval);
      // Copied: lanes come and go while this waits for the journal.
      const auto owned = lanes_.owned();
      for (const auto& [lane, owner] : owned) {
        ReapLane(fiber, *owner);
      }
    }
  });
}

void ProgramReaper::ReapLane(Fiber& fiber, LaneOwner& owner) {
  const auto now = WallClock();
  std::vector<LaneEntry> ended;
  for (const auto& [key, program] : owner.state().programs()) {
    const auto contract = contracts_.FindByName(key.customer);
    if (program.ended || !contract || InFlight(program, owner.epoch()) ||
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
    ended.push_back(entry);
  }
  if (ended.empty()) {
    return;
  }
  try {
    owner.Append(fiber, ended, kAppendTimeout);
  } catch (const std::runtime_error&) {
    // Tried again on the next round, here or at the lane's next owner.
    return;
  }
  for (const auto& it : ended) {
    log_.Write({.name = "program_ended",
                .customer = it.customer,
                .program = it.program,
                .lane = owner.lane(),
                .epoch = owner.epoch(),
                .detail = it.target});
  }
}

}  // namespace comfreyfold
