#include "server/hold_releaser.h"

#include <algorithm>
#include <set>
#include <utility>

namespace comfreyfold {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kInterval{100};
constexpr milliseconds kAppendTimeout{500};
constexpr milliseconds kFirstBackoff{100};
constexpr milliseconds kMostBackoff{5000};
// Longer than a request of a dead daemon lies unread at a live engine.
constexpr milliseconds kSettleTime{2000};
// The VM list lags: a server missing from it for less may still come back
// with its memory.
constexpr milliseconds kGoneTime{60000};
constexpr std::size_t kBatch = 64;

// Whether a dispatch may still be on its way to the engine: of a call
// without an outcome, or of an earlier owner.
bool Unsettled(const ProgramState& program, std::int64_t epoch) {
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
      FollowLanes();
      StartDueEngines();
      fiber.Sleep(kInterval);
    }
  });
}

// Programs are looked through once, when a lane is taken; after that the
// blocks tell what becomes due.
void HoldReleaser::FollowLanes() {
  for (const auto& [lane, owner] : lanes_.owned()) {
    auto& followed = followed_[lane];
    if (followed.lock() == owner) {
      continue;
    }
    followed = owner;
    for (const auto& [key, program] : owner->state().programs()) {
      AddDue(lane, program);
    }
  }
}

void HoldReleaser::OnBlockApplied(const LaneOwner& owner,
                                  const LaneBlock& block) {
  std::set<ProgramKey> seen;
  for (const auto& it : block.entries) {
    // An intent may follow the end that a limit has set: its hold is due
    // just as well.
    const bool matters =
        it.kind == EntryKind::kProgramEnded || it.kind == EntryKind::kCallBegun;
    const ProgramKey key{it.customer, it.program};
    const auto* program = matters ? owner.state().Find(key) : nullptr;
    if (program != nullptr && seen.insert(key).second) {
      AddDue(owner.lane(), *program);
    }
  }
}

void HoldReleaser::AddDue(int lane, const ProgramState& program) {
  if (!program.ended) {
    return;
  }
  for (const auto& it : program.holds_on) {
    by_engine_[it].due.push_back(
        {lane, {program.customer, program.program}, {}, false});
  }
}

void HoldReleaser::StartDueEngines() {
  const auto now = steady_clock::now();
  for (auto& [id, engine] : by_engine_) {
    if (!engine.due.empty() && !engine.busy && engine.not_before <= now) {
      engine.busy = true;
      loop_.Spawn([this, id = id](Fiber& fiber) { ReleaseAt(fiber, id); });
    }
  }
}

std::vector<HoldReleaser::Due> HoldReleaser::TakeBatch(Engine& engine) {
  const auto now = steady_clock::now();
  std::vector<Due> out;
  std::deque<Due> rest;
  for (auto& it : engine.due) {
    if (out.size() < kBatch && it.not_before <= now) {
      out.push_back(std::move(it));
    } else {
      rest.push_back(std::move(it));
    }
  }
  engine.due = std::move(rest);
  return out;
}

void HoldReleaser::ReleaseAt(Fiber& fiber, const std::string& id) {
  auto& engine = by_engine_[id];
  auto batch = TakeBatch(engine);
  std::vector<Due> released;
  bool failed = false;
  for (auto& it : batch) {
    if (failed) {
      Back(id, it);
      continue;
    }
    try {
      const auto outcome = ReleaseHold(fiber, id, it);
      if (outcome == Outcome::kReleased) {
        released.push_back(it);
      } else if (outcome == Outcome::kAgainLater) {
        Back(id, it);
      }
    } catch (const BackendFailure&) {
      // One that does not answer is not asked for each program.
      failed = true;
      Back(id, it);
    }
  }
  engine.backoff =
      failed ? std::clamp(engine.backoff * 2, kFirstBackoff, kMostBackoff)
             : milliseconds::zero();
  engine.not_before = steady_clock::now() + engine.backoff;
  Record(fiber, id, released);
  engine.busy = false;
}

HoldReleaser::Outcome HoldReleaser::ReleaseHold(Fiber& fiber,
                                                const std::string& id,
                                                Due& due) {
  const auto owner = lanes_.Find(due.lane);
  const auto* program = owner ? owner->state().Find(due.program) : nullptr;
  if (program == nullptr || !program->holds_on.contains(id)) {
    // The lane's next owner finds it in the journal.
    return Outcome::kNothingHeld;
  }
  auto& engine = by_engine_[id];
  const auto* backend = directory_.Find(id);
  engine.missing = engine.missing && backend == nullptr;
  if (backend == nullptr) {
    due.not_before = steady_clock::now() + kSettleTime;
    return GoneForGood(engine) ? Outcome::kReleased : Outcome::kAgainLater;
  }
  const auto address = backend->vm.address;
  const bool unsettled = Unsettled(*program, owner->epoch());
  std::vector<std::string> open;
  for (const auto& it : program->calls) {
    if (it.kind == CallKind::kModel && !it.done && it.backend == id) {
      open.push_back(
          StreamId(due.program.customer, due.program.program, it.key));
    }
  }
  // A turn that still generates would take its memory again.
  for (const auto& it : open) {
    engines_.Cancel(fiber, address, it);
  }
  engines_.Release(fiber, address,
                   due.program.customer + "/" + due.program.program);
  if (!unsettled || due.released_once) {
    return Outcome::kReleased;
  }
  due.released_once = true;
  due.not_before = steady_clock::now() + kSettleTime;
  return Outcome::kAgainLater;
}

bool HoldReleaser::GoneForGood(Engine& engine) {
  const auto now = steady_clock::now();
  if (!engine.missing || !directory_.loaded()) {
    engine.missing = true;
    engine.missing_since = now;
  }
  return now - engine.missing_since >= kGoneTime;
}

void HoldReleaser::Record(Fiber& fiber,
                          const std::string& id,
                          const std::vector<Due>& released) {
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
      // Released twice rather than recorded without being known to be.
      for (const auto& it : released) {
        if (it.lane == lane) {
          Back(id, it);
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

void HoldReleaser::Back(const std::string& id, const Due& due) {
  by_engine_[id].due.push_back(due);
}

}  // namespace comfreyfold
