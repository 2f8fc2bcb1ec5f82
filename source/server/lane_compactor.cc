#include "server/lane_compactor.h"

#include <utility>

namespace comfreyfold {

namespace {
constexpr std::chrono::milliseconds kCompactInterval{1000};
constexpr std::chrono::milliseconds kAppendTimeout{5000};
// Limits the size of the block that removes programs.
constexpr std::size_t kMaxForgottenPrograms = 1000;
}  // namespace

void LaneCompactor::Start() {
  loop_.Spawn([this](Fiber& fiber) {
    while (true) {
      CompactAll(fiber);
      fiber.Sleep(kCompactInterval);
    }
  });
}

void LaneCompactor::CompactAll(Fiber& fiber) {
  // Copied because the manager drops lost lanes while this fiber waits.
  const auto owned = lanes_.owned();
  for (const auto& [lane, owner] : owned) {
    try {
      Compact(fiber, *owner);
    } catch (const std::runtime_error& e) {
      log_.Write({.name = "lane_not_tidied", .lane = lane, .detail = e.what()});
    }
  }
}

void LaneCompactor::Compact(Fiber& fiber, LaneOwner& lane) {
  if (lane.lost()) {
    return;
  }
  auto forgotten = ExpiredPrograms(lane);
  if (!forgotten.empty()) {
    lane.Append(fiber, forgotten, kAppendTimeout);
    for (const auto& it : forgotten) {
      ended_since_.erase({it.customer, it.program});
    }
  }
  if (lane.snapshot_due()) {
    lane.SaveSnapshot(fiber);
  }
}

std::vector<LaneEntry> LaneCompactor::ExpiredPrograms(const LaneOwner& lane) {
  const auto now = std::chrono::steady_clock::now();
  std::vector<LaneEntry> out;
  for (const auto& [key, program] : lane.state().programs()) {
    if (!program.ended || !program.holds_on.empty()) {
      continue;
    }
    const auto since = ended_since_.emplace(key, now).first->second;
    if (now - since < lane.settings().retention ||
        out.size() == kMaxForgottenPrograms) {
      continue;
    }
    LaneEntry entry;
    entry.kind = EntryKind::kProgramForgotten;
    entry.customer = key.customer;
    entry.program = key.program;
    out.push_back(std::move(entry));
  }
  return out;
}

}  // namespace comfreyfold
