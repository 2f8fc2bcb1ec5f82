#include "server/hold_releaser.h"

namespace comfreyfold {

namespace {
constexpr std::chrono::milliseconds kAppendTimeout{500};
}  // namespace

void HoldReleaser::ReleaseOnce(Fiber& fiber) {
  // Copied: lanes come and go while this waits for engines.
  const auto owned = lanes_.owned();
  for (const auto& [lane, owner] : owned) {
    std::vector<LaneEntry> due;
    for (const auto& [key, program] : owner->state().programs()) {
      if (!program.ended) {
        continue;
      }
      for (const auto& it : program.holds_on) {
        LaneEntry entry;
        entry.kind = EntryKind::kHoldReleased;
        entry.customer = key.customer;
        entry.program = key.program;
        entry.backend = it;
        due.push_back(entry);
      }
    }
    for (const auto& it : due) {
      const auto* backend = directory_.Find(it.backend);
      try {
        if (backend != nullptr) {
          engines_.Release(fiber, std::string(backend->vm.address),
                           it.customer + "/" + it.program);
        } else if (!directory_.loaded()) {
          continue;
        }
        owner->Append(fiber, {it}, kAppendTimeout);
        log_.Write({.name = "hold_released",
                    .customer = it.customer,
                    .program = it.program,
                    .backend = it.backend,
                    .lane = lane,
                    .epoch = owner->epoch()});
      } catch (const std::runtime_error&) {
        // Tried again on the next round.
      }
    }
  }
}

}  // namespace comfreyfold
