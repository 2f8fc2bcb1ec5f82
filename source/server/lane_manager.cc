#include "server/lane_manager.h"

#include <algorithm>
#include <utility>

namespace comfreyfold {

namespace {
// Blocks that go out at once after a quiet time.
constexpr int kBurstWrites = 20;
constexpr std::chrono::milliseconds kSettleTime{2000};
constexpr std::chrono::milliseconds kHandoverTime{2000};
constexpr std::chrono::milliseconds kHandoverStep{5};
}  // namespace

LaneManager::LaneManager(Loop& loop,
                         KvClient& kv,
                         EventLog& log,
                         Membership& membership,
                         const LaneSettings& settings,
                         int lanes,
                         HolderLinks* holders)
    : loop_(loop),
      kv_(kv),
      log_(log),
      membership_(membership),
      settings_(settings),
      pacer_(settings.writes_per_second, kBurstWrites),
      lanes_(lanes),
      holders_(holders) {}

void LaneManager::Tick() {
  ShareWrites();
  DropLost();
  TakeDue();
  GiveUpOne();
  for (const auto& [lane, owner] : owned_) {
    owner->ReviewHolders(std::chrono::steady_clock::now());
  }
}

// The service's writes are shared by the daemons that can own lanes.
void LaneManager::ShareWrites() {
  const auto n =
      membership_.EligibleDaemons(std::chrono::steady_clock::now()).size();
  pacer_.SetRate(settings_.writes_per_second /
                 std::max(1, static_cast<int>(n)));
}

void LaneManager::DropLost() {
  const auto now = std::chrono::steady_clock::now();
  for (const auto& [lane, owner] : owned_) {
    const auto newest = membership_.OwnerOf(lane, now);
    if (newest && newest->epoch > owner->epoch()) {
      owner->Supersede(*newest);
    }
  }
  const auto lost =
      std::erase_if(owned_, [](const auto& it) { return it.second->lost(); });
  if (lost > 0) {
    Publish();
  }
}

void LaneManager::TakeDue() {
  if (!open_) {
    return;
  }
  const auto now = std::chrono::steady_clock::now();
  for (int lane = 0; lane < lanes_; ++lane) {
    if (!opening_.contains(lane) && membership_.ShouldTakeLane(lane, now)) {
      opening_.insert(lane);
      loop_.Spawn([this, lane](Fiber& fiber) { Take(fiber, lane); });
    }
  }
}

void LaneManager::GiveUpOne() {
  const auto now = std::chrono::steady_clock::now();
  auto eligible = membership_.EligibleDaemons(now);
  if (eligible != eligible_) {
    eligible_ = std::move(eligible);
    eligible_since_ = now;
  }
  // Daemons come and go in bursts; only a settled fleet is worth the moves,
  // and one lane at a time keeps the journal's writes for the calls.
  if (giving_up_ || now - eligible_since_ < kSettleTime) {
    return;
  }
  for (const auto& [lane, owner] : owned_) {
    const auto preferred = membership_.PreferredOwner(lane, now);
    if (!owner->lost() && !preferred.empty() &&
        preferred != membership_.self().daemon) {
      giving_up_ = true;
      loop_.Spawn([this, held = owner](Fiber& fiber) { GiveUp(fiber, held); });
      return;
    }
  }
}

void LaneManager::GiveUp(Fiber& fiber,
                         const std::shared_ptr<LaneOwner>& owner) {
  try {
    // In doubt, a handover would keep the lane's calls waiting: it is begun
    // only when the service has just answered.
    if (owner->Confirm(fiber)) {
      owner->Handover(fiber, kHandoverTime);
    }
  } catch (const KvUnavailable&) {
    // Nobody could take the lane now.
  }
  giving_up_ = false;
  DropLost();
}

bool LaneManager::IsLive(const std::string& daemon) const {
  return membership_.IsLive(daemon, std::chrono::steady_clock::now());
}

void LaneManager::Take(Fiber& fiber, int lane) {
  auto owner = std::make_shared<LaneOwner>(loop_, kv_, log_, settings_, pacer_,
                                           lane, holders_);
  owner->OnApplied(on_applied_);
  try {
    Open(fiber, *owner);
    owned_[lane] = std::move(owner);
  } catch (const std::exception& e) {
    log_.Write({.name = "lane_not_taken", .lane = lane, .detail = e.what()});
  }
  opening_.erase(lane);
  Publish();
}

// Blocks that only the holders have are waited for as long as one of them may
// come back, and a while longer.
void LaneManager::Open(Fiber& fiber, LaneOwner& owner) {
  using Without = LaneOwner::WithoutHolders;
  const auto now = std::chrono::steady_clock::now();
  const auto since = without_holders_.find(owner.lane());
  const bool patient = since == without_holders_.end() ||
                       now - since->second < settings_.holder_patience;
  try {
    owner.Open(fiber, still_owns_,
               patient ? Without::kRefuse : Without::kTakeOver);
  } catch (const HoldersUnreachable& e) {
    if (e.all_gone()) {
      without_holders_.emplace(owner.lane(), now);
    } else {
      without_holders_.erase(owner.lane());
    }
    throw;
  }
  without_holders_.erase(owner.lane());
}

std::size_t LaneManager::waiting_blocks() const {
  std::size_t out = 0;
  for (const auto& [lane, owner] : owned_) {
    out += owner->waiting_blocks();
  }
  return out;
}

std::shared_ptr<LaneOwner> LaneManager::Find(int lane) const {
  const auto it = owned_.find(lane);
  return it == owned_.end() || it->second->lost() ? nullptr : it->second;
}

bool LaneManager::HandOverAll(Fiber& fiber, std::chrono::milliseconds timeout) {
  const auto until = std::chrono::steady_clock::now() + timeout;
  // Side by side: with a slow service one after the other takes too long.
  for (const auto& [lane, owner] : owned_) {
    loop_.Spawn([held = owner, timeout](Fiber& child) {
      held->Handover(child, timeout);
    });
  }
  while (!owned_.empty() && std::chrono::steady_clock::now() < until) {
    fiber.Sleep(kHandoverStep);
    DropLost();
  }
  return owned_.empty();
}

void LaneManager::Publish() {
  std::vector<OwnedLane> lanes;
  for (const auto& [lane, owner] : owned_) {
    if (!owner->lost()) {
      lanes.push_back({lane, owner->epoch()});
    }
  }
  // While the service is out no lane can be taken, however often it is
  // tried: grants must not be doubted for it.
  if (lanes == membership_.self().lanes) {
    return;
  }
  membership_.self().lanes = std::move(lanes);
  if (on_change_) {
    on_change_();
  }
}

}  // namespace comfreyfold
