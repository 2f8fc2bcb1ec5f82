#include "server/lane_owner.h"

#include <algorithm>
#include <utility>

#include "clients/base64.h"
#include "core/hash.h"
#include "wire/codec.h"

namespace comfreyfold {

namespace {

constexpr std::chrono::milliseconds kInitialBackoff{50};
// Longer than kInitialBackoff: no caller waits for an upload, and every lane
// retries its own.
constexpr std::chrono::milliseconds kInitialUploadBackoff{200};
// Bounds the ownership reads per lane when many calls are refused at once.
constexpr std::chrono::milliseconds kConfirmInterval{200};
constexpr std::chrono::milliseconds kMaxBackoff{2000};
constexpr int kJitterPercent = 50;
// Uploads required before another block is stored at the holders once the
// service answers again. More than one, so that the backlog shrinks under any
// load.
constexpr int kUploadsPerSpooledBlock = 2;
constexpr std::chrono::milliseconds kUploadWaitTimeout{5000};
// Holders that are missing for less than this are not replaced, because daemons
// often restart in groups.
constexpr std::chrono::milliseconds kHolderReplacementDelay{3000};
constexpr std::chrono::milliseconds kAssignTimeout{5000};
constexpr std::chrono::milliseconds kForgetInterval{1000};
constexpr int kMaxForgetAttempts = 60;
constexpr int kHttpServiceUnavailable = 503;

// Spreads the retries of owners that wait for the service, so that they do not
// all arrive at once when it recovers.
std::chrono::milliseconds Jittered(std::chrono::milliseconds backoff,
                                   const std::string& seed) {
  const auto percent =
      static_cast<int>(Hash64(seed) % static_cast<unsigned>(kJitterPercent));
  return backoff - backoff * percent / 100;
}

// Returns whether `entries` may be committed only by the key-value service:
// they change the lane's owner or holders, or they allow the dispatch of a call
// that must not run twice.
bool NeedsService(const std::vector<LaneEntry>& entries) {
  return HasUnsafeIntent(entries) || DecideOwnership(entries);
}

// The outcome of an intent that is not dispatched. Its verdict is that of the
// call's earlier dispatches.
LaneEntry WithdrawnOutcome(const LaneEntry& intent) {
  auto out = intent;
  out.kind = EntryKind::kCallDone;
  out.request.clear();
  out.tokens = 0;
  out.status = kHttpServiceUnavailable;
  return out;
}

}  // namespace

struct LaneOwner::Pending {
  enum class State {
    kOpen,
    kCommitted,
    kRefused,    // The entries are in no block.
    kWithdrawn,  // Only the holders have the block: do not dispatch the call.
  };
  std::vector<LaneEntry> entries;
  State state = State::kOpen;
  bool abandoned = false;
};

LaneOwner::LaneOwner(Loop& loop,
                     KvClient& kv,
                     EventLog& log,
                     const LaneSettings& settings,
                     WritePacer& pacer,
                     int lane,
                     HolderClient* holder_client)
    : loop_(loop),
      log_(log),
      settings_(settings),
      pacer_(pacer),
      lane_(lane),
      journal_(kv, lane),
      holder_client_(holder_client),
      spool_(holder_client, journal_, lane),
      changed_(loop),
      confirm_(loop, kConfirmInterval) {}

LaneOwner::~LaneOwner() = default;

LaneBlock LaneOwner::MakeBlock(std::vector<LaneEntry> entries,
                               std::int64_t epoch) const {
  return {state_.last_block() + 1, RandomId(), epoch, log_.daemon(),
          std::move(entries)};
}

void LaneOwner::RecoverFromHolders(Fiber& fiber,
                                   WithoutHolders without_holders) {
  try {
    const auto blocks =
        spool_.Recover(fiber, state_, [this](const LaneBlock& block) {
          state_.Apply(block);
          block_bytes_ += static_cast<std::int64_t>(Encode(block).size());
        });
    if (blocks > 0) {
      LogUploaded(blocks);
    }
  } catch (const HoldersSealed& e) {
    throw LaneLost(e.what());
  } catch (const HoldersUnreachable& e) {
    if (without_holders == WithoutHolders::kRefuse || !e.all_gone()) {
      throw;
    }
    log_.Write({.name = "spool_abandoned",
                .lane = lane_,
                .epoch = epoch(),
                .detail = e.what()});
  }
}

LaneEntry LaneOwner::MakeHoldersEntry() const {
  LaneEntry out;
  out.kind = EntryKind::kHolders;
  if (holder_client_ != nullptr) {
    out.holders = holder_client_->Choose(lane_);
  }
  return out;
}

LaneBlock LaneOwner::MakeTakeover() const {
  std::vector<LaneEntry> entries(1);
  entries.front().kind = EntryKind::kTakeover;
  auto holders_entry = MakeHoldersEntry();
  if (!holders_entry.holders.empty()) {
    entries.push_back(std::move(holders_entry));
  }
  return MakeBlock(std::move(entries), state_.epoch() + 1);
}

void LaneOwner::Open(Fiber& fiber,
                     const OwnerCheck& still_owns,
                     WithoutHolders without_holders) {
  auto replay = journal_.Replay(fiber);
  state_ = std::move(replay.state);
  snapshot_block_ = replay.snapshot_block;
  snapshot_bytes_ = replay.snapshot_bytes;
  block_bytes_ = replay.block_bytes;
  const auto& former = state_.owner();
  if (still_owns && !former.empty() && former != log_.daemon() &&
      still_owns(fiber, former, {lane_, state_.epoch()})) {
    throw LaneLost(former + " still owns lane " + std::to_string(lane_) +
                   " and is alive");
  }
  RecoverFromHolders(fiber, without_holders);
  const auto former_holders = state_.holders();
  const auto block = MakeTakeover();
  // One attempt is enough: TryCommit reads the block back if the answer was
  // lost, and if the service does not answer, the next attempt to take the lane
  // starts with a new replay.
  if (!journal_.TryCommit(fiber, block)) {
    throw LaneLost("another daemon took over lane " + std::to_string(lane_));
  }
  state_.Apply(block);
  log_.Write({.name = "lane_taken", .lane = lane_, .epoch = epoch()});
  ForgetAtHolders(former_holders, block.number);
}

void LaneOwner::CheckSize(const std::vector<LaneEntry>& entries) const {
  const auto bytes = BytesOf(entries);
  if (bytes > LaneJournal::kMaxValueBytes) {
    throw EntryTooLarge("lane " + std::to_string(lane_) + ": " +
                        std::to_string(bytes) +
                        " bytes of entries exceed the largest block size");
  }
}

void LaneOwner::Append(Fiber& fiber,
                       std::vector<LaneEntry> entries,
                       std::chrono::milliseconds timeout) {
  changed_.WaitUntil(fiber, timeout, [this] { return !handing_over_; });
  if (lost_) {
    throw LaneLost("lane " + std::to_string(lane_) +
                   " is no longer owned by this daemon");
  }
  CheckSize(entries);
  if (!spool_.empty() && NeedsService(entries)) {
    throw AppendTimeout("lane " + std::to_string(lane_) +
                        ": the key-value service is unavailable");
  }
  // The service is not answering: this intent would also wait for its timeout
  // and be refused.
  if (in_doubt_ && HasIntent(entries)) {
    throw AppendTimeout("lane " + std::to_string(lane_) +
                        ": it is unknown whether an earlier block was "
                        "committed");
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
    // The coroutine keeps this object alive: the manager drops a lost lane
    // while a commit may still be waiting for the service.
    loop_.Spawn(
        [self = shared_from_this()](Fiber& child) { self->CommitLoop(child); });
  }
  return pending;
}

void LaneOwner::Wait(Fiber& fiber,
                     Pending& pending,
                     std::chrono::milliseconds timeout) {
  const auto settled = [this, &pending] {
    return pending.state != Pending::State::kOpen || lost_;
  };
  const auto start = std::chrono::steady_clock::now();
  const auto half = timeout / 2;
  if (!changed_.WaitUntil(fiber, half, settled)) {
    if (HasIntent(pending.entries)) {
      ConfirmInBackground(start);
    }
    changed_.WaitUntil(fiber, timeout - half, settled);
  }
  if (pending.state == Pending::State::kCommitted) {
    return;
  }
  if (pending.state == Pending::State::kRefused) {
    throw AppendTimeout("lane " + std::to_string(lane_) +
                        ": the key-value service is unavailable");
  }
  if (lost_) {
    throw LaneLost("lane " + std::to_string(lane_) + " was taken over");
  }
  pending.abandoned = true;
  // A block that the holders have stored (kWithdrawn) is not in doubt.
  if (pending.state == Pending::State::kOpen && HasIntent(pending.entries)) {
    in_doubt_ = true;
  }
  Withdraw(pending.entries);
  throw AppendTimeout("lane " + std::to_string(lane_) +
                      ": the commit timed out");
}

// Appends a "not run" outcome for each intent in `entries`. The caller of an
// abandoned intent is told "not run" and nothing is dispatched, but the block
// with the intent may still be committed later. Without the outcome after it,
// the program would wait forever for a call that was never dispatched.
void LaneOwner::Withdraw(const std::vector<LaneEntry>& entries) {
  std::vector<LaneEntry> outcomes;
  for (const auto& it : entries) {
    if (it.kind == EntryKind::kCallBegun) {
      outcomes.push_back(WithdrawnOutcome(it));
    }
  }
  if (!outcomes.empty()) {
    Enqueue(std::move(outcomes));
  }
}

LaneOwner::Group LaneOwner::TakeGroup() {
  // Drops abandoned intents that are in no block yet: their callers were told
  // "not run". Abandoned entries of other kinds record something that has
  // happened, so they are still written.
  std::erase_if(pending_, [](const auto& it) {
    return it->abandoned && HasIntent(it->entries);
  });
  RefuseServiceOnlyEntries();
  Group out;
  std::size_t bytes = 0;
  while (!pending_.empty()) {
    bytes += BytesOf(pending_.front()->entries);
    if (!out.empty() && bytes > LaneJournal::kMaxValueBytes) {
      break;
    }
    out.push_back(std::move(pending_.front()));
    pending_.pop_front();
  }
  return out;
}

void LaneOwner::RefuseServiceOnlyEntries() {
  if (spool_.empty()) {
    return;
  }
  std::erase_if(pending_, [](const auto& it) {
    if (!NeedsService(it->entries)) {
      return false;
    }
    it->state = Pending::State::kRefused;
    return true;
  });
  changed_.NotifyAll();
}

void LaneOwner::AwaitUploads(Fiber& fiber) {
  if (last_upload_succeeded_ && !spool_.empty()) {
    changed_.WaitUntil(fiber, kUploadWaitTimeout, [this] {
      return lost_ || spool_.empty() || !last_upload_succeeded_ ||
             uploads_since_spooled_ >= kUploadsPerSpooledBlock;
    });
  }
}

void LaneOwner::CommitLoop(Fiber& fiber) {
  while (!lost_ && !pending_.empty()) {
    // Entries that arrive during the wait go into the same block.
    const auto wait = pacer_.Reserve(std::chrono::steady_clock::now());
    if (wait.count() > 0) {
      fiber.Sleep(wait);
    }
    AwaitUploads(fiber);
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
  auto backoff = kInitialBackoff;
  // Retries the same block until it is committed or another daemon's block is
  // found in its place. It may already have reached the service, so a different
  // block with the same number must not be sent.
  while (!lost_) {
    switch (TryCommit(fiber, block)) {
      case CommitResult::kInService:
        CommittedInService(block, group);
        return;
      case CommitResult::kAtHolders:
        CommittedAtHolders(block, group);
        return;
      case CommitResult::kConflict:
        MarkLost("another daemon wrote block " + std::to_string(block.number));
        return;
      case CommitResult::kNoAnswer:
        fiber.Sleep(Jittered(backoff, block.uid));
        backoff = std::min(backoff * 2, kMaxBackoff);
    }
  }
}

LaneOwner::CommitResult LaneOwner::TryCommit(Fiber& fiber,
                                             const LaneBlock& block) {
  // The service accepts blocks only in order, so while earlier blocks still
  // wait for upload, this one goes to the holders.
  if (spool_.empty()) {
    try {
      return journal_.TryCommit(fiber, block) ? CommitResult::kInService
                                              : CommitResult::kConflict;
    } catch (const KvUnavailable&) {
      // The block is stored at the holders below.
    }
  }
  return spool_.Commit(fiber, state_.holders(), block)
             ? CommitResult::kAtHolders
             : CommitResult::kNoAnswer;
}

void LaneOwner::ApplyOwn(const LaneBlock& block) {
  state_.Apply(block);
  block_bytes_ += static_cast<std::int64_t>(Encode(block).size());
  in_doubt_ = false;
  if (on_applied_) {
    on_applied_(*this, block);
  }
}

// The block is committed, but it would be lost if this daemon and all holders
// failed at the same time. Calls that must not run twice are therefore not
// dispatched.
void LaneOwner::CommittedAtHolders(const LaneBlock& block, const Group& group) {
  ApplyOwn(block);
  uploads_since_spooled_ = 0;
  for (const auto& it : group) {
    it->state = HasUnsafeIntent(it->entries) ? Pending::State::kWithdrawn
                                             : Pending::State::kCommitted;
  }
  log_.Write({.name = "block_spooled",
              .lane = lane_,
              .epoch = epoch(),
              .detail = "block " + std::to_string(block.number)});
  changed_.NotifyAll();
  if (!uploading_) {
    uploading_ = true;
    last_upload_succeeded_ = false;
    loop_.Spawn(
        [self = shared_from_this()](Fiber& child) { self->UploadLoop(child); });
  }
}

void LaneOwner::UploadLoop(Fiber& fiber) {
  auto backoff = kInitialUploadBackoff;
  int blocks = 0;
  while (!lost_ && !spool_.empty()) {
    fiber.Sleep(pacer_.Reserve(std::chrono::steady_clock::now()));
    try {
      const auto number = spool_.first_number();
      if (!spool_.UploadFirst(fiber)) {
        MarkLost("another daemon wrote block " + std::to_string(number));
        break;
      }
      ++blocks;
      ++uploads_since_spooled_;
      last_upload_succeeded_ = true;
      backoff = kInitialUploadBackoff;
    } catch (const KvUnavailable&) {
      last_upload_succeeded_ = false;
      fiber.Sleep(Jittered(backoff, log_.daemon() + std::to_string(lane_)));
      backoff = std::min(backoff * 2, kMaxBackoff);
    }
    changed_.NotifyAll();
  }
  uploading_ = false;
  if (!lost_) {
    LogUploaded(blocks);
    ForgetAtHolders(state_.holders(), state_.last_block());
  }
}

void LaneOwner::LogUploaded(int blocks) {
  log_.Write({.name = "spool_uploaded",
              .lane = lane_,
              .epoch = epoch(),
              .detail = std::to_string(blocks) + " blocks"});
}

// Tells the holders in the background that blocks up to `number` are in the
// service. A holder that keeps blocks for longer does no harm.
void LaneOwner::ForgetAtHolders(const std::vector<SpoolHolder>& holders,
                                std::int64_t number) {
  if (holder_client_ == nullptr || holders.empty()) {
    return;
  }
  spool_.ClearForgetPending();
  loop_.Spawn([self = shared_from_this(), holders, number](Fiber& child) {
    for (int i = 0; i < kMaxForgetAttempts && !self->lost_; ++i) {
      if (self->spool_.Forget(child, holders, number)) {
        return;
      }
      child.Sleep(kForgetInterval);
    }
  });
}

void LaneOwner::CommittedInService(const LaneBlock& block, const Group& group) {
  ApplyOwn(block);
  if (spool_.forget_pending()) {
    ForgetAtHolders(state_.holders(), block.number);
  }
  for (const auto& it : group) {
    it->state = Pending::State::kCommitted;
  }
  if (state_.owner().empty()) {
    handed_over_ = true;
    lost_ = true;
    log_.Write({.name = "lane_handed_over", .lane = lane_, .epoch = epoch()});
  }
  changed_.NotifyAll();
}

bool LaneOwner::ConfirmOwnership(Fiber& fiber, TimePoint since) {
  return confirm_.Run(
      fiber, [this](Fiber& reader) { return ReadNextBlock(reader); }, since);
}

// Starts the ownership check that precedes the refusal of a call while its
// intent is still waiting. Started only after the timeout, the check would make
// a caller wait twice as long when the service is slow.
void LaneOwner::ConfirmInBackground(TimePoint since) {
  loop_.Spawn([self = shared_from_this(), since](Fiber& child) {
    try {
      self->ConfirmOwnership(child, since);
    } catch (const std::exception&) {
      // The caller's own check fails in the same way.
    }
  });
}

bool LaneOwner::ReadNextBlock(Fiber& fiber) {
  auto number =
      spool_.empty() ? state_.last_block() + 1 : spool_.first_number();
  while (!lost_) {
    const auto next = journal_.Read(fiber, number);
    LoseIfTakenOver(next);
    // Blocks of this owner that it believed not to be uploaded may be in the
    // service, followed by blocks of another daemon.
    if (!next || number > state_.last_block()) {
      break;
    }
    ++number;
  }
  return !lost_;
}

void LaneOwner::LoseIfTakenOver(const std::optional<LaneBlock>& next) {
  if (next && !lost_ &&
      (next->owner != log_.daemon() || next->epoch != epoch())) {
    MarkLost("another daemon wrote block " + std::to_string(next->number));
  }
}

bool LaneOwner::AllHoldersAvailable() const {
  const auto& holders = state_.holders();
  return holders.size() == kHoldersOfLane &&
         std::all_of(holders.begin(), holders.end(), [this](const auto& it) {
           return holder_client_->IsAvailable(it);
         });
}

void LaneOwner::ReviewHolders(TimePoint now) {
  if (holder_client_ == nullptr || lost_ || assigning_holders_ ||
      !spool_.empty()) {
    return;
  }
  if (AllHoldersAvailable() || holder_client_->Choose(lane_).empty()) {
    holders_missing_since_.reset();
    return;
  }
  holders_missing_since_ = holders_missing_since_.value_or(now);
  if (now - *holders_missing_since_ >= kHolderReplacementDelay) {
    holders_missing_since_.reset();
    assigning_holders_ = true;
    loop_.Spawn([self = shared_from_this()](Fiber& child) {
      try {
        self->AssignHolders(child);
      } catch (const std::runtime_error&) {
        // The next call of ReviewHolders tries again.
      }
      self->assigning_holders_ = false;
    });
  }
}

void LaneOwner::AssignHolders(Fiber& fiber) {
  // The entry is appended only when the service has just answered, because a
  // block in doubt would delay every other append.
  if (!ServiceConfirmsOwnership(fiber)) {
    return;
  }
  const auto entry = MakeHoldersEntry();
  if (entry.holders.empty()) {
    return;
  }
  auto former = state_.holders();
  Append(fiber, {entry}, kAssignTimeout);
  former.insert(former.end(), entry.holders.begin(), entry.holders.end());
  if (spool_.empty()) {
    ForgetAtHolders(former, state_.last_block());
  }
}

bool LaneOwner::snapshot_due() const {
  // A snapshot is written only when the blocks it replaces are at least as
  // large as the previous snapshot. Snapshots then at most double the bytes
  // written.
  return !lost_ && spool_.empty() &&
         state_.last_block() - snapshot_block_ >= settings_.snapshot_blocks &&
         block_bytes_ >= snapshot_bytes_;
}

void LaneOwner::SaveSnapshot(Fiber& fiber) {
  const auto before = block_bytes_;
  const auto snapshot = state_.Snapshot();
  std::int64_t bytes = 0;
  if (!journal_.SaveSnapshot(fiber, snapshot, bytes)) {
    MarkLost("block " + std::to_string(snapshot.last_block) +
             " was trimmed by another daemon");
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
  MarkLost(newest.daemon + " owns the lane in epoch " +
           std::to_string(newest.epoch));
}

void LaneOwner::MarkLost(const std::string& why) {
  if (lost_) {
    return;
  }
  lost_ = true;
  log_.Write(
      {.name = "lane_lost", .lane = lane_, .epoch = epoch(), .detail = why});
  changed_.NotifyAll();
}

bool LaneOwner::ServiceConfirmsOwnership(Fiber& fiber) {
  try {
    return ConfirmOwnership(fiber);
  } catch (const KvUnavailable&) {
    return false;
  }
}

bool LaneOwner::Handover(Fiber& fiber, std::chrono::milliseconds timeout) {
  // While the service is unavailable, no daemon could take the lane, and the
  // handover block would be in doubt and delay every other append. The handover
  // therefore starts only when the service has just answered.
  if (lost_ || handing_over_ || !spool_.empty() ||
      !ServiceConfirmsOwnership(fiber)) {
    return handed_over_;
  }
  LaneEntry entry;
  entry.kind = EntryKind::kHandover;
  handing_over_ = true;
  try {
    Wait(fiber, *Enqueue({entry}), timeout);
  } catch (const std::runtime_error&) {
    // The entry may still be committed; the lane is then handed over.
  }
  handing_over_ = false;
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
