#include "server/hold_releaser.h"

#include <algorithm>
#include <set>
#include <utility>

namespace comfreyfold {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kPollInterval{100};
constexpr milliseconds kAppendTimeout{500};
constexpr milliseconds kFirstBackoff{100};
constexpr milliseconds kMaxBackoff{5000};
// Longer than a request of a dead daemon can remain unread at a live engine.
constexpr milliseconds kSettleTime{2000};
// The VM list is updated with a delay. A server that is missing for less than
// this may return with its memory intact.
constexpr milliseconds kRemovalDelay{60000};
constexpr std::size_t kMaxBatch = 64;

// Returns whether a dispatch may still be on its way to an engine: that of a
// call without an outcome, or one by an earlier owner.
bool MayHaveDispatchInFlight(const ProgramState& program, std::int64_t epoch) {
  return std::any_of(program.calls.begin(), program.calls.end(),
                     [epoch](const CallRecord& it) {
                       return it.kind == CallKind::kModel &&
                              (!it.done || it.epoch != epoch);
                     });
}

}  // namespace

HoldReleaser::HoldReleaser(Loop& loop,
                           EngineClient& engines,
                           LaneManager& lanes,
                           BackendDirectory& directory,
                           EventLog& log)
    : loop_(loop),
      engines_(engines),
      lanes_(lanes),
      directory_(directory),
      log_(log) {}

void HoldReleaser::Start() {
  loop_.Spawn([this](Fiber& fiber) {
    while (true) {
      ScanNewLanes();
      StartReleases();
      fiber.Sleep(kPollInterval);
    }
  });
}

// Scans all programs of a lane once, when this daemon takes the lane over.
// After that, OnBlockApplied reports the releases that become necessary.
void HoldReleaser::ScanNewLanes() {
  for (const auto& [lane, owner] : lanes_.owned()) {
    auto& scanned = scanned_[lane];
    if (scanned.lock() == owner) {
      continue;
    }
    scanned = owner;
    for (const auto& [key, program] : owner->state().programs()) {
      EnqueueReleases(lane, program);
    }
  }
}

void HoldReleaser::OnBlockApplied(const LaneOwner& owner,
                                  const LaneBlock& block) {
  std::set<ProgramKey> enqueued;
  for (const auto& it : block.entries) {
    // An intent may be committed after a limit has ended the program. Its hold
    // has to be released as well.
    const bool may_add_release =
        it.kind == EntryKind::kProgramEnded || it.kind == EntryKind::kCallBegun;
    const ProgramKey key{it.customer, it.program};
    const auto* program = may_add_release ? owner.state().Find(key) : nullptr;
    if (program != nullptr && enqueued.insert(key).second) {
      EnqueueReleases(owner.lane(), *program);
    }
  }
}

void HoldReleaser::EnqueueReleases(int lane, const ProgramState& program) {
  if (!program.ended) {
    return;
  }
  for (const auto& it : program.holds_on) {
    by_engine_[it].pending.push_back(
        {lane, {program.customer, program.program}, {}, false});
  }
}

void HoldReleaser::StartReleases() {
  const auto now = steady_clock::now();
  for (auto& [id, engine] : by_engine_) {
    if (!engine.pending.empty() && !engine.release_running &&
        engine.not_before <= now) {
      engine.release_running = true;
      loop_.Spawn([this, id = id](Fiber& fiber) { ReleaseAt(fiber, id); });
    }
  }
}

std::vector<HoldReleaser::PendingRelease> HoldReleaser::TakeBatch(
    Engine& engine) {
  const auto now = steady_clock::now();
  std::vector<PendingRelease> out;
  std::deque<PendingRelease> rest;
  for (auto& it : engine.pending) {
    if (out.size() < kMaxBatch && it.not_before <= now) {
      out.push_back(std::move(it));
    } else {
      rest.push_back(std::move(it));
    }
  }
  engine.pending = std::move(rest);
  return out;
}

void HoldReleaser::ReleaseAt(Fiber& fiber, const std::string& id) {
  auto& engine = by_engine_[id];
  auto batch = TakeBatch(engine);
  std::vector<PendingRelease> released;
  bool failed = false;
  for (auto& it : batch) {
    if (failed) {
      Requeue(id, it);
      continue;
    }
    try {
      const auto outcome = ReleaseHold(fiber, id, it);
      if (outcome == ReleaseResult::kReleased) {
        released.push_back(it);
      } else if (outcome == ReleaseResult::kRetryLater) {
        Requeue(id, it);
      }
    } catch (const BackendFailure&) {
      // The rest of the batch is requeued without asking an engine that does
      // not answer.
      failed = true;
      Requeue(id, it);
    }
  }
  engine.backoff =
      failed ? std::clamp(engine.backoff * 2, kFirstBackoff, kMaxBackoff)
             : milliseconds::zero();
  engine.not_before = steady_clock::now() + engine.backoff;
  RecordReleases(fiber, id, released);
  engine.release_running = false;
}

HoldReleaser::ReleaseResult HoldReleaser::ReleaseHold(Fiber& fiber,
                                                      const std::string& id,
                                                      PendingRelease& pending) {
  const auto owner = lanes_.Find(pending.lane);
  const auto* program = owner ? owner->state().Find(pending.program) : nullptr;
  if (program == nullptr || !program->holds_on.contains(id)) {
    // Either nothing is held, or the lane's next owner finds the hold in the
    // journal.
    return ReleaseResult::kNothingHeld;
  }
  auto& engine = by_engine_[id];
  const auto* backend = directory_.Find(id);
  engine.missing = engine.missing && backend == nullptr;
  if (backend == nullptr) {
    pending.not_before = steady_clock::now() + kSettleTime;
    return IsRemoved(engine) ? ReleaseResult::kReleased
                             : ReleaseResult::kRetryLater;
  }
  const auto address = backend->vm.address;
  const bool dispatch_in_flight =
      MayHaveDispatchInFlight(*program, owner->epoch());
  std::vector<std::string> open_streams;
  for (const auto& it : program->calls) {
    if (it.kind == CallKind::kModel && !it.done && it.backend == id) {
      open_streams.push_back(
          StreamId(pending.program.customer, pending.program.program, it.key));
    }
  }
  // A turn that is still generating would allocate the memory again.
  for (const auto& it : open_streams) {
    engines_.Cancel(fiber, address, it);
  }
  engines_.Release(fiber, address,
                   pending.program.customer + "/" + pending.program.program);
  if (!dispatch_in_flight || pending.released_once) {
    return ReleaseResult::kReleased;
  }
  pending.released_once = true;
  pending.not_before = steady_clock::now() + kSettleTime;
  return ReleaseResult::kRetryLater;
}

bool HoldReleaser::IsRemoved(Engine& engine) {
  const auto now = steady_clock::now();
  if (!engine.missing || !directory_.loaded()) {
    engine.missing = true;
    engine.missing_since = now;
  }
  return now - engine.missing_since >= kRemovalDelay;
}

void HoldReleaser::RecordReleases(Fiber& fiber,
                                  const std::string& id,
                                  const std::vector<PendingRelease>& released) {
  std::map<int, std::vector<LaneEntry>> by_lane;
  for (const auto& it : released) {
    LaneEntry entry;
    entry.kind = EntryKind::kHoldReleased;
    entry.customer = it.program.customer;
    entry.program = it.program.program;
    entry.backend = id;
    by_lane[it.lane].push_back(std::move(entry));
  }
  for (const auto& [lane, entries] : by_lane) {
    const auto owner = lanes_.Find(lane);
    if (!owner) {
      continue;
    }
    try {
      owner->Append(fiber, entries, kAppendTimeout);
    } catch (const std::runtime_error&) {
      // The record may not be committed, so the hold is released and recorded
      // again.
      for (const auto& it : released) {
        if (it.lane == lane) {
          Requeue(id, it);
        }
      }
      continue;
    }
    for (const auto& it : entries) {
      log_.Write({.name = "hold_released",
                  .customer = it.customer,
                  .program = it.program,
                  .backend = it.backend,
                  .lane = lane,
                  .epoch = owner->epoch()});
    }
  }
}

void HoldReleaser::Requeue(const std::string& id,
                           const PendingRelease& pending) {
  by_engine_[id].pending.push_back(pending);
}

}  // namespace comfreyfold
