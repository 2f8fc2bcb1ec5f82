#include "server/lane_owner.h"

#include <algorithm>
#include <utility>

#include "clients/base64.h"
#include "core/hash.h"
#include "wire/codec.h"

namespace comfreyfold {

namespace {

constexpr std::chrono::milliseconds kFirstBackoff{50};
// Nobody waits for an upload, and every lane has one.
constexpr std::chrono::milliseconds kFirstUploadBackoff{200};
// Under a storm of refusals the fleet reads so often for each lane.
constexpr std::chrono::milliseconds kConfirmInterval{200};
constexpr std::chrono::milliseconds kMostBackoff{2000};
constexpr int kJitterPercent = 50;
// So many uploads for each block that goes to the holders once the service
// answers again: what waits grows shorter under any load.
constexpr int kUploadsForEachCommit = 2;
constexpr std::chrono::milliseconds kUploadWait{5000};
// Daemons come and go in bursts.
constexpr std::chrono::milliseconds kHoldersGoneTime{3000};
constexpr std::chrono::milliseconds kNamingTimeout{5000};
constexpr std::chrono::milliseconds kForgetInterval{1000};
constexpr int kForgetTries = 60;
constexpr int kUnavailable = 503;  // HTTP status.

// All owners that wait for the service must not come back at one moment.
std::chrono::milliseconds Jittered(std::chrono::milliseconds backoff,
                                   const std::string& seed) {
  const auto percent =
      static_cast<int>(Hash64(seed) % static_cast<unsigned>(kJitterPercent));
  return backoff - backoff * percent / 100;
}

// Only the service may take these: they decide who answers for the lane, or
// what is dispatched on their strength must not run twice.
bool NeedsService(const std::vector<LaneEntry>& entries) {
  return HasUnsafeIntent(entries) || HasOwnershipChange(entries);
}

// Of an intent that is not dispatched: earlier dispatches decide its verdict.
LaneEntry WithdrawnOutcome(const LaneEntry& intent) {
  auto out = intent;
  out.kind = EntryKind::kCallDone;
  out.request.clear();
  out.tokens = 0;
  out.status = kUnavailable;
  return out;
}

}  // namespace

struct LaneOwner::Pending {
  enum class State {
    kOpen,
    kCommitted,
    kRefused,    // It is in no block.
    kWithdrawn,  // The holders have it: nothing may be dispatched.
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
                     HolderLinks* holders)
    : loop_(loop),
      log_(log),
      settings_(settings),
      pacer_(pacer),
      lane_(lane),
      journal_(kv, lane),
      holders_(holders),
      spool_(holders, journal_, lane),
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
      Uploaded(blocks);
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

LaneEntry LaneOwner::MakeHolders() const {
  LaneEntry out;
  out.kind = EntryKind::kHolders;
  if (holders_ != nullptr) {
    out.holders = holders_->Choose(lane_);
  }
  return out;
}

LaneBlock LaneOwner::MakeTakeover() const {
  std::vector<LaneEntry> entries(1);
  entries.front().kind = EntryKind::kTakeover;
  auto named = MakeHolders();
  if (!named.holders.empty()) {
    entries.push_back(std::move(named));
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
    throw LaneLost(former + " holds lane " + std::to_string(lane_) +
                   " and lives");
  }
  RecoverFromHolders(fiber, without_holders);
  const auto former_holders = state_.holders();
  const auto block = MakeTakeover();
  // One try: a lost answer is settled by the read in TryCommit, and when
  // the service is silent the next round starts from a fresh replay.
  if (!journal_.TryCommit(fiber, block)) {
    throw LaneLost("another daemon took lane " + std::to_string(lane_));
  }
  state_.Apply(block);
  log_.Write({.name = "lane_taken", .lane = lane_, .epoch = epoch()});
  ForgetAt(former_holders, block.number);
}

void LaneOwner::CheckSize(const std::vector<LaneEntry>& entries) const {
  const auto bytes = EstimatedBytes(entries);
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
  if (!spool_.empty() && NeedsService(entries)) {
    throw AppendTimeout("lane " + std::to_string(lane_) +
                        ": the key-value service is out");
  }
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
  const auto settled = [this, &pending] {
    return pending.state != Pending::State::kOpen || lost_;
  };
  const auto start = std::chrono::steady_clock::now();
  const auto half = timeout / 2;
  if (!changed_.WaitUntil(fiber, half, settled)) {
    if (HasIntent(pending.entries)) {
      ConfirmBeside(start);
    }
    changed_.WaitUntil(fiber, timeout - half, settled);
  }
  if (pending.state == Pending::State::kCommitted) {
    return;
  }
  if (pending.state == Pending::State::kRefused) {
    throw AppendTimeout("lane " + std::to_string(lane_) +
                        ": the key-value service is out");
  }
  if (lost_) {
    throw LaneLost("lane " + std::to_string(lane_) + " was taken over");
  }
  pending.abandoned = true;
  // A block that the holders have is not in doubt.
  if (pending.state == Pending::State::kOpen && HasIntent(pending.entries)) {
    in_doubt_ = true;
  }
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
      outcomes.push_back(WithdrawnOutcome(it));
    }
  }
  if (!outcomes.empty()) {
    Enqueue(std::move(outcomes));
  }
}

LaneOwner::Group LaneOwner::TakeGroup() {
  // An intent that nobody waits for any more and that is in no block yet is
  // dropped: its caller was told "not run". Anything else is a fact.
  std::erase_if(pending_, [](const auto& it) {
    return it->abandoned && HasIntent(it->entries);
  });
  RefuseWhileOut();
  Group out;
  std::size_t bytes = 0;
  while (!pending_.empty()) {
    bytes += EstimatedBytes(pending_.front()->entries);
    if (!out.empty() && bytes > LaneJournal::kMostValueBytes) {
      break;
    }
    out.push_back(std::move(pending_.front()));
    pending_.pop_front();
  }
  return out;
}

void LaneOwner::RefuseWhileOut() {
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
  if (service_answers_ && !spool_.empty()) {
    changed_.WaitUntil(fiber, kUploadWait, [this] {
      return lost_ || spool_.empty() || !service_answers_ ||
             uploads_since_commit_ >= kUploadsForEachCommit;
    });
  }
}

void LaneOwner::CommitLoop(Fiber& fiber) {
  while (!lost_ && !pending_.empty()) {
    // What comes in during the wait goes into the same block.
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
  auto backoff = kFirstBackoff;
  // Once a block may have reached the service it is this block or none:
  // another with the same number could otherwise commit beside it.
  while (!lost_) {
    switch (TryCommit(fiber, block)) {
      case CommitResult::kInService:
        Committed(block, group);
        return;
      case CommitResult::kAtHolders:
        WaitAtHolders(block, group);
        return;
      case CommitResult::kAnotherThere:
        Lose("another daemon's block " + std::to_string(block.number));
        return;
      case CommitResult::kNoAnswer:
        fiber.Sleep(Jittered(backoff, block.uid));
        backoff = std::min(backoff * 2, kMostBackoff);
    }
  }
}

LaneOwner::CommitResult LaneOwner::TryCommit(Fiber& fiber,
                                             const LaneBlock& block) {
  // The service takes blocks in order: first those that wait.
  if (spool_.empty()) {
    try {
      return journal_.TryCommit(fiber, block) ? CommitResult::kInService
                                              : CommitResult::kAnotherThere;
    } catch (const KvUnavailable&) {
      // The holders may have it meanwhile.
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

// Committed, but should this daemon and both holders be lost at once it would
// be gone: what must not run twice is not dispatched on its strength.
void LaneOwner::WaitAtHolders(const LaneBlock& block, const Group& group) {
  ApplyOwn(block);
  uploads_since_commit_ = 0;
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
    service_answers_ = false;
    loop_.Spawn(
        [self = shared_from_this()](Fiber& child) { self->UploadLoop(child); });
  }
}

void LaneOwner::UploadLoop(Fiber& fiber) {
  auto backoff = kFirstUploadBackoff;
  int blocks = 0;
  while (!lost_ && !spool_.empty()) {
    fiber.Sleep(pacer_.Reserve(std::chrono::steady_clock::now()));
    try {
      const auto number = spool_.first();
      if (!spool_.UploadFirst(fiber)) {
        Lose("another daemon's block " + std::to_string(number));
        break;
      }
      ++blocks;
      ++uploads_since_commit_;
      service_answers_ = true;
      backoff = kFirstUploadBackoff;
    } catch (const KvUnavailable&) {
      service_answers_ = false;
      fiber.Sleep(Jittered(backoff, log_.daemon() + std::to_string(lane_)));
      backoff = std::min(backoff * 2, kMostBackoff);
    }
    changed_.NotifyAll();
  }
  uploading_ = false;
  if (!lost_) {
    Uploaded(blocks);
    ForgetAt(state_.holders(), state_.last_block());
  }
}

void LaneOwner::Uploaded(int blocks) {
  log_.Write({.name = "spool_uploaded",
              .lane = lane_,
              .epoch = epoch(),
              .detail = std::to_string(blocks) + " blocks"});
}

// Beside everything else: what a holder keeps too long does no harm.
void LaneOwner::ForgetAt(const std::vector<SpoolHolder>& holders,
                         std::int64_t number) {
  if (holders_ == nullptr || holders.empty()) {
    return;
  }
  spool_.Forgotten();
  loop_.Spawn([self = shared_from_this(), holders, number](Fiber& child) {
    for (int i = 0; i < kForgetTries && !self->lost_; ++i) {
      if (self->spool_.Forget(child, holders, number)) {
        return;
      }
      child.Sleep(kForgetInterval);
    }
  });
}

void LaneOwner::Committed(const LaneBlock& block, const Group& group) {
  ApplyOwn(block);
  if (spool_.to_forget()) {
    ForgetAt(state_.holders(), block.number);
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

bool LaneOwner::Confirm(Fiber& fiber, TimePoint since) {
  return confirm_.Run(
      fiber, [this](Fiber& reader) { return ReadNextBlock(reader); }, since);
}

// Whoever refuses a call asks first whether this is still the owner. Asked
// only after the intent was waited for in vain, a slow service would keep the
// caller as long again.
void LaneOwner::ConfirmBeside(TimePoint since) {
  loop_.Spawn([self = shared_from_this(), since](Fiber& child) {
    try {
      self->Confirm(child, since);
    } catch (const std::exception&) {
      // The caller's own question gets the same answer.
    }
  });
}

bool LaneOwner::ReadNextBlock(Fiber& fiber) {
  auto number = spool_.empty() ? state_.last_block() + 1 : spool_.first();
  while (!lost_) {
    const auto next = journal_.Read(fiber, number);
    LoseTo(next);
    // Behind blocks of its own that it does not know to be there, another
    // daemon's may follow.
    if (!next || number > state_.last_block()) {
      break;
    }
    ++number;
  }
  return !lost_;
}

void LaneOwner::LoseTo(const std::optional<LaneBlock>& next) {
  if (next && !lost_ &&
      (next->owner != log_.daemon() || next->epoch != epoch())) {
    Lose("another daemon's block " + std::to_string(next->number));
  }
}

bool LaneOwner::HoldersAreThere() const {
  const auto& named = state_.holders();
  return named.size() == kHoldersPerLane &&
         std::all_of(named.begin(), named.end(),
                     [this](const auto& it) { return holders_->IsThere(it); });
}

void LaneOwner::ReviewHolders(TimePoint now) {
  if (holders_ == nullptr || lost_ || naming_ || !spool_.empty()) {
    return;
  }
  if (HoldersAreThere() || holders_->Choose(lane_).empty()) {
    amiss_since_.reset();
    return;
  }
  amiss_since_ = amiss_since_.value_or(now);
  if (now - *amiss_since_ >= kHoldersGoneTime) {
    amiss_since_.reset();
    naming_ = true;
    loop_.Spawn([self = shared_from_this()](Fiber& child) {
      try {
        self->NameHolders(child);
      } catch (const std::runtime_error&) {
        // The next review tries again.
      }
      self->naming_ = false;
    });
  }
}

void LaneOwner::NameHolders(Fiber& fiber) {
  // As a handover, it must not be in doubt for long.
  if (!ServiceAnswers(fiber)) {
    return;
  }
  const auto entry = MakeHolders();
  if (entry.holders.empty()) {
    return;
  }
  auto former = state_.holders();
  Append(fiber, {entry}, kNamingTimeout);
  former.insert(former.end(), entry.holders.begin(), entry.holders.end());
  if (spool_.empty()) {
    ForgetAt(former, state_.last_block());
  }
}

bool LaneOwner::snapshot_due() const {
  // A snapshot that is larger than the blocks it replaces would write more
  // than it saves: the bytes written at most double this way.
  return !lost_ && spool_.empty() &&
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
  Lose(newest.daemon + " holds epoch " + std::to_string(newest.epoch));
}

void LaneOwner::Lose(const std::string& why) {
  if (lost_) {
    return;
  }
  lost_ = true;
  log_.Write(
      {.name = "lane_lost", .lane = lane_, .epoch = epoch(), .detail = why});
  changed_.NotifyAll();
}

bool LaneOwner::ServiceAnswers(Fiber& fiber) {
  try {
    return Confirm(fiber);
  } catch (const KvUnavailable&) {
    return false;
  }
}

bool LaneOwner::Handover(Fiber& fiber, std::chrono::milliseconds timeout) {
  // While the service is out nobody could take the lane, and this block, in
  // doubt, would keep every other waiting: it is begun only when the service
  // has just answered.
  if (lost_ || closing_ || !spool_.empty() || !ServiceAnswers(fiber)) {
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
