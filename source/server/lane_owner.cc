#include "server/lane_owner.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "platform/base64.h"
#include "wire/codec.h"

namespace comfreyfold {

namespace {
constexpr std::chrono::milliseconds kFirstBackoff{50};
constexpr std::chrono::milliseconds kMostBackoff{2000};
}  // namespace

struct LaneOwner::Pending {
  std::vector<LaneEntry> entries;
  bool committed = false;
  bool abandoned = false;
};

bool LaneOwner::IsIntent(const Pending& pending) {
  return pending.entries.size() == 1 &&
         pending.entries.front().kind == EntryKind::kCallBegun;
}

LaneOwner::LaneOwner(Loop& loop, KvClient& kv, EventLog& log, int lane)
    : loop_(loop), kv_(kv), log_(log), lane_(lane), changed_(loop) {}

LaneOwner::~LaneOwner() = default;

std::string LaneOwner::BlockKey(std::int64_t number) const {
  // Zeros keep the order of the keys the order of the blocks.
  char buf[64];
  std::snprintf(buf, sizeof(buf), "lane/%04d/block/%012lld", lane_,
                static_cast<long long>(number));
  return buf;
}

LaneBlock LaneOwner::MakeBlock(std::vector<LaneEntry> entries,
                               std::int64_t epoch) const {
  return {state_.last_block() + 1, RandomId(), epoch, log_.daemon(),
          std::move(entries)};
}

void LaneOwner::Open(Fiber& fiber) {
  char prefix[32];
  std::snprintf(prefix, sizeof(prefix), "lane/%04d/block/", lane_);
  for (const auto& it : kv_.Prefix(fiber, prefix).items) {
    state_.Apply(DecodeLaneBlock(it.value));
  }
  LaneEntry takeover;
  takeover.kind = EntryKind::kTakeover;
  const auto block = MakeBlock({takeover}, state_.epoch() + 1);
  // One try: a lost answer is settled by the read in TryCommit, and when
  // the service is silent the next round starts from a fresh replay.
  if (!TryCommit(fiber, block)) {
    throw LaneLost("another daemon took lane " + std::to_string(lane_));
  }
  state_.Apply(block);
  log_.Write({.name = "lane_taken", .lane = lane_, .epoch = epoch()});
}

bool LaneOwner::TryCommit(Fiber& fiber, const LaneBlock& block) {
  const auto key = BlockKey(block.number);
  KvTxn txn;
  txn.compares.push_back(KvCompare::Absent(key));
  if (block.number > 1) {
    // Trimming deletes old blocks but never the last: without this an owner
    // that slept through a trim could create its next block a second time.
    txn.compares.push_back(KvCompare::Exists(BlockKey(block.number - 1)));
  }
  txn.puts.push_back({key, Encode(block)});
  if (kv_.Commit(fiber, txn).succeeded) {
    return true;
  }
  // Either another daemon won, or an earlier try took effect and its
  // answer was lost: the block's uid tells which.
  const auto there = kv_.Get(fiber, key);
  return there && DecodeLaneBlock(there->value).uid == block.uid;
}

void LaneOwner::Append(Fiber& fiber,
                       std::vector<LaneEntry> entries,
                       std::chrono::milliseconds timeout) {
  changed_.WaitUntil(fiber, timeout, [this] { return !closing_; });
  if (lost_) {
    throw LaneLost("lane " + std::to_string(lane_) + " is no longer owned");
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
  pending.abandoned = true;
  if (lost_) {
    throw LaneLost("lane " + std::to_string(lane_) + " was taken over");
  }
  throw AppendTimeout("lane " + std::to_string(lane_) + ": no commit in time");
}

LaneOwner::Group LaneOwner::TakeGroup() {
  // An intent that nobody waits for any more and that is in no block yet is
  // dropped: its caller was told "not run". Anything else is a fact.
  std::erase_if(pending_,
                [](const auto& it) { return it->abandoned && IsIntent(*it); });
  Group out(pending_.begin(), pending_.end());
  pending_.clear();
  return out;
}

void LaneOwner::AppendLater(std::vector<LaneEntry> entries) {
  if (!lost_) {
    Enqueue(std::move(entries));
  }
}

void LaneOwner::CommitLoop(Fiber& fiber) {
  while (!lost_) {
    const auto group = TakeGroup();
    if (group.empty()) {
      break;
    }
    CommitGroup(fiber, group);
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
      if (!TryCommit(fiber, block)) {
        Lose("another daemon's block " + std::to_string(block.number));
        return;
      }
      Committed(block, group);
      return;
    } catch (const KvUnavailable&) {
      fiber.Sleep(backoff);
      backoff = std::min(backoff * 2, kMostBackoff);
    }
  }
}

void LaneOwner::Committed(const LaneBlock& block, const Group& group) {
  state_.Apply(block);
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
  const auto next = kv_.Get(fiber, BlockKey(state_.last_block() + 1));
  if (next && !lost_) {
    const auto block = DecodeLaneBlock(next->value);
    if (block.owner != log_.daemon() || block.epoch != epoch()) {
      Lose("another daemon's block " + std::to_string(block.number));
    }
  }
  return !lost_;
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

void LaneOwner::WaitForChange(Fiber& fiber, std::chrono::milliseconds timeout) {
  changed_.Wait(fiber, timeout);
}

}  // namespace comfreyfold
