#include "server/lane_owner.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"
#include "platform/base64.h"
#include "wire/codec.h"

namespace comfreyfold {

namespace {

constexpr std::chrono::milliseconds kFirstBackoff{50};
// Under a storm of refusals the fleet reads so often for each lane.
constexpr std::chrono::milliseconds kConfirmInterval{200};
constexpr std::chrono::milliseconds kMostBackoff{2000};
constexpr int kJitterPercent = 50;
constexpr int kUnavailable = 503;  // HTTP status.
// The fields of an entry beside its texts, and a block's own.
constexpr std::size_t kEntryOverheadBytes = 128;

std::size_t BytesOf(const std::vector<LaneEntry>& entries) {
  std::size_t out = 0;
  for (const auto& it : entries) {
    out += kEntryOverheadBytes + it.customer.size() + it.program.size() +
           it.key.size() + it.target.size() + it.backend.size() +
           it.request.size() + it.answer.size();
  }
  return out;
}

// All owners that wait for the service must not come back at one moment.
std::chrono::milliseconds Jittered(std::chrono::milliseconds backoff,
                                   const std::string& seed) {
  const auto percent =
      static_cast<int>(Hash64(seed) % static_cast<unsigned>(kJitterPercent));
  return backoff - backoff * percent / 100;
}

bool HasIntent(const std::vector<LaneEntry>& entries) {
  return std::any_of(entries.begin(), entries.end(), [](const auto& it) {
    return it.kind == EntryKind::kCallBegun;
  });
}

LaneEntry NotRunOutcome(const LaneEntry& intent) {
  auto out = intent;
  out.kind = EntryKind::kCallDone;
  out.request.clear();
  out.tokens = 0;
  out.verdict = Verdict::kNotRun;
  out.status = kUnavailable;
  return out;
}

}  // namespace

struct LaneOwner::Pending {
  std::vector<LaneEntry> entries;
  bool committed = false;
  bool abandoned = false;
};

LaneOwner::LaneOwner(Loop& loop,
                     KvClient& kv,
                     EventLog& log,
                     const LaneSettings& settings,
                     WritePacer& pacer,
                     int lane)
    : loop_(loop),
      log_(log),
      settings_(settings),
      pacer_(pacer),
      lane_(lane),
      journal_(kv, lane),
      changed_(loop),
      confirm_(loop, kConfirmInterval) {}

LaneOwner::~LaneOwner() = default;

LaneBlock LaneOwner::MakeBlock(std::vector<LaneEntry> entries,
                               std::int64_t epoch) const {
  return {state_.last_block() + 1, RandomId(), epoch, log_.daemon(),
          std::move(entries)};
}

void LaneOwner::Open(Fiber& fiber, const OwnerCheck& still_owns) {
  auto replay = journal_.Replay(fiber);
  state_ = std::move(replay.state);
  snapshot_block_ = replay.snapshot_block;
  snapshot_bytes_ = replay.snapshot_bytes;
  block_bytes_ = replay.block_bytes;
  const auto& holder = state_.owner();
  if (still_owns && !holder.empty() && holder != log_.daemon() &&
      still_owns(fiber, holder, {lane_, state_.epoch()})) {
    throw LaneLost(holder + " holds lane " + std::to_string(lane_) +
                   " and lives");
  }
  LaneEntry takeover;
  takeover.kind = EntryKind::kTakeover;
  const auto block = MakeBlock({takeover}, state_.epoch() + 1);
  // One try: a lost answer is settled by the read in TryCommit, and when
  // the service is silent the next round starts from a fresh replay.
  if (!journal_.TryCommit(fiber, block)) {
    throw LaneLost("another daemon took lane " + std::to_string(lane_));
  }
  state_.Apply(block);
  log_.Write({.name = "lane_taken", .lane = lane_, .epoch = epoch()});
}

void LaneOwner::CheckSize(const std::vector<LaneEntry>& entries) const {
  const auto bytes = BytesOf(entries);
  if (bytes > LaneJournal::kMostValueBytes) {
    throw EntryTooLarge("lane " + std::to_string(lane_) + ": " +
                        std::to_string(bytes) + " bytes do not fit a block");
  }
}

void LaneOwner::Append(Fiber& fiber,
                       std::vector<LaneEntry> entries,
                       std::chrono::milliseconds timeout) {
  changed_.WaitUntil(fiber, timeout, [this] { return !closing_; });
  if (lost_) {
    throw LaneLost("lane " + std::to_string(lane_) + " is no longer owned");
  }
  CheckSize(entries);
  // The service is known to be silent: whoever waits too would only be
  // refused later.
  if (in_doubt_ && HasIntent(entries)) {
    throw AppendTimeout("lane " + std::to_string(lane_) +
                        ": an earlier block is in doubt");
  }
  Wait(fiber, *Enqueue(std::move(entries)), timeout);
}

std::shared_ptr<LaneOwner::Pending> LaneOwner::Enqueue(
    std::vector<LaneEntry> entries) {
  auto pending = std::make_shared<Pending>();
  pending->entries = std::move(entries);
  pending_.push_back(pending);
  if (!committing_) {
    committing_ = true;
    // Held by the coroutine: a lane that is lost is dropped by its manager
    // while a commit may still wait for the service.
    loop_.Spawn(
        [self = shared_from_this()](Fiber& child) { self->CommitLoop(child); });
  }
  return pending;
}

void LaneOwner::Wait(Fiber& fiber,
                     Pending& pending,
                     std::chrono::milliseconds timeout) {
  changed_.WaitUntil(fiber, timeout,
                     [this, &pending] { return pending.committed || lost_; });
  if (pending.committed) {
    return;
  }
  if (lost_) {
    throw LaneLost("lane " + std::to_string(lane_) + " was taken over");
  }
  pending.abandoned = true;
  Withdraw(pending.entries);
  throw AppendTimeout("lane " + std::to_string(lane_) + ": no commit in time");
}

// The caller of an intent that is given up is told "not run", and nothing is
// dispatched. The intent may be in a block that the service takes later:
// without this outcome behind it the program would wait for a call that
// never comes.
void LaneOwner::Withdraw(const std::vector<LaneEntry>& entries) {
  std::vector<LaneEntry> outcomes;
  for (const auto& it : entries) {
    if (it.kind == EntryKind::kCallBegun) {
      outcomes.push_back(NotRunOutcome(it));
    }
  }
  if (!outcomes.empty()) {
    in_doubt_ = true;
    Enqueue(std::move(outcomes));
  }
}

LaneOwner::Group LaneOwner::TakeGroup() {
  // An intent that nobody waits for any more and that is in no block yet is
  // dropped: its caller was told "not run". Anything else is a fact.
  std::erase_if(pending_, [](const auto& it) {
    return it->abandoned && HasIntent(it->entries);
  });
  Group out;
  std::size_t bytes = 0;
  while (!pending_.empty()) {
    bytes += BytesOf(pending_.front()->entries);
    if (!out.empty() && bytes > LaneJournal::kMostValueBytes) {
      break;
    }
    out.push_back(std::move(pending_.front()));
    pending_.pop_front();
  }
  return out;
}

void LaneOwner::CommitLoop(Fiber& fiber) {
  while (!lost_ && !pending_.empty()) {
    // What comes in during the wait goes into the same block.
    const auto wait = pacer_.Reserve(std::chrono::steady_clock::now());
    if (wait.count() > 0) {
      fiber.Sleep(wait);
    }
    in_commit_ = TakeGroup();
    if (in_commit_.empty()) {
      break;
    }
    CommitGroup(fiber, in_commit_);
    in_commit_.clear();
  }
  committing_ = false;
  changed_.NotifyAll();
}

void LaneOwner::CommitGroup(Fiber& fiber, const Group& group) {
  std::vector<LaneEntry> entries;
  for (const auto& it : group) {
    entries.insert(entries.end(), it->entries.begin(), it->entries.end());
  }
  const auto block = MakeBlock(std::move(entries), epoch());
  auto backoff = kFirstBackoff;
  // Once a block may have reached the service it is this block or none:
  // another with the same number could otherwise commit beside it.
  while (!lost_) {
    try {
      if (!journal_.TryCommit(fiber, block)) {
        Lose("another daemon's block " + std::to_string(block.number));
        return;
      }
      Committed(block, group);
      return;
    } catch (const KvUnavailable&) {
      fiber.Sleep(Jittered(backoff, block.uid));
      backoff = std::min(backoff * 2, kMostBackoff);
    }
  }
}

void LaneOwner::Committed(const LaneBlock& block, const Group& group) {
  state_.Apply(block);
  block_bytes_ += static_cast<std::int64_t>(Encode(block).size());
  in_doubt_ = false;
  if (on_applied_) {
    on_applied_(*this, block);
  }
  for (const auto& it : group) {
    it->committed = true;
  }
  if (state_.owner().empty()) {
    handed_over_ = true;
    lost_ = true;
    log_.Write({.name = "lane_handed_over", .lane = lane_, .epoch = epoch()});
  }
  changed_.NotifyAll();
}

bool LaneOwner::Confirm(Fiber& fiber) {
  return confirm_.Run(fiber,
                      [this](Fiber& reader) { return ReadNextBlock(reader); });
}

bool LaneOwner::ReadNextBlock(Fiber& fiber) {
  const auto next = journal_.Read(fiber, state_.last_block() + 1);
  if (next && !lost_ &&
      (next->owner != log_.daemon() || next->epoch != epoch())) {
    Lose("another daemon's block " + std::to_string(next->number));
  }
  return !lost_;
}

bool LaneOwner::snapshot_due() const {
  // A snapshot that is larger than the blocks it replaces would write more
  // than it saves: the bytes written at most double this way.
  return !lost_ &&
         state_.last_block() - snapshot_block_ >= settings_.snapshot_blocks &&
         block_bytes_ >= snapshot_bytes_;
}

void LaneOwner::SaveSnapshot(Fiber& fiber) {
  const auto before = block_bytes_;
  const auto snapshot = state_.Snapshot();
  std::int64_t bytes = 0;
  if (!journal_.SaveSnapshot(fiber, snapshot, bytes)) {
    Lose("block " + std::to_string(snapshot.last_block) + " was trimmed");
    return;
  }
  snapshot_block_ = snapshot.last_block;
  snapshot_bytes_ = bytes;
  block_bytes_ -= before;
  log_.Write({.name = "lane_snapshot",
              .lane = lane_,
              .epoch = epoch(),
              .detail = "block " + std::to_string(snapshot.last_block) + ", " +
                        std::to_string(bytes) + " bytes"});
}

void LaneOwner::Supersede(const LaneOwnerView& newest) {
  if (!lost_) {
    Lose(newest.daemon + " holds epoch " + std::to_string(newest.epoch));
  }
}

void LaneOwner::Lose(const std::string& why) {
  lost_ = true;
  log_.Write(
      {.name = "lane_lost", .lane = lane_, .epoch = epoch(), .detail = why});
  changed_.NotifyAll();
}

bool LaneOwner::Handover(Fiber& fiber, std::chrono::milliseconds timeout) {
  if (lost_ || closing_) {
    return handed_over_;
  }
  LaneEntry entry;
  entry.kind = EntryKind::kHandover;
  closing_ = true;
  try {
    Wait(fiber, *Enqueue({entry}), timeout);
  } catch (const std::runtime_error&) {
    // The entry may still commit, and then it counts.
  }
  closing_ = false;
  changed_.NotifyAll();
  return handed_over_;
}

const LaneEntry* LaneOwner::PendingOutcome(const ProgramKey& program) const {
  const auto find = [&program](const auto& groups) -> const LaneEntry* {
    for (const auto& group : groups) {
      for (const auto& it : group->entries) {
        if (it.kind == EntryKind::kCallDone &&
            it.customer == program.customer && it.program == program.program) {
          return &it;
        }
      }
    }
    return nullptr;
  };
  const auto* out = find(in_commit_);
  return out != nullptr ? out : find(pending_);
}

void LaneOwner::WaitForChange(Fiber& fiber, std::chrono::milliseconds timeout) {
  changed_.Wait(fiber, timeout);
}

}  // namespace comfreyfold
