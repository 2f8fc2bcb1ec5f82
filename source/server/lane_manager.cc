#include "server/lane_manager.h"

#include <algorithm>
#include <utility>

namespace comfreyfold {

namespace {
// Number of blocks that may be written without delay after an idle period.
constexpr int kMaxBurstWrites = 20;
constexpr std::chrono::milliseconds kSettleTime{2000};
constexpr std::chrono::milliseconds kHandoverTimeout{2000};
constexpr std::chrono::milliseconds kHandoverPollInterval{5};
}  // namespace

LaneManager::LaneManager(Loop& loop,
                         KvClient& kv,
                         EventLog& log,
                         Membership& membership,
                         const LaneSettings& settings,
                         int lanes,
                         HolderClient* holder_client)
    : loop_(loop),
      kv_(kv),
      log_(log),
      membership_(membership),
      settings_(settings),
      pacer_(settings.writes_per_second, kMaxBurstWrites),
      lanes_(lanes),
      holder_client_(holder_client) {}

void LaneManager::Tick() {
  UpdateWriteRate();
  DropLost();
  TakeDueLanes();
  RebalanceOneLane();
  for (const auto& [lane, owner] : owned_) {
    owner->ReviewHolders(std::chrono::steady_clock::now());
  }
}

// Divides the permitted write rate equally among the daemons that may own
// lanes.
void LaneManager::UpdateWriteRate() {
  const auto n = membership_.Eligible(std::chrono::steady_clock::now()).size();
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
    PublishOwnedLanes();
  }
}

void LaneManager::TakeDueLanes() {
  if (!may_take_) {
    return;
  }
  const auto now = std::chrono::steady_clock::now();
  for (int lane = 0; lane < lanes_; ++lane) {
    if (!opening_.contains(lane) && membership_.ShouldTake(lane, now)) {
      opening_.insert(lane);
      loop_.Spawn([this, lane](Fiber& fiber) { Take(fiber, lane); });
    }
  }
}

void LaneManager::RebalanceOneLane() {
  const auto now = std::chrono::steady_clock::now();
  auto eligible = membership_.Eligible(now);
  if (eligible != eligible_) {
    eligible_ = std::move(eligible);
    eligible_since_ = now;
  }
  // Daemons often start and stop in groups, so lanes are moved only once the
  // set of eligible daemons has been stable for kSettleTime. Moving one lane at
  // a time leaves most of the write rate to calls.
  if (rebalancing_ || now - eligible_since_ < kSettleTime) {
    return;
  }
  for (const auto& [lane, owner] : owned_) {
    const auto preferred = membership_.PreferredOwner(lane, now);
    if (!owner->lost() && !preferred.empty() &&
        preferred != membership_.self().daemon) {
      rebalancing_ = true;
      loop_.Spawn([this, held = owner](Fiber& fiber) {
        HandOverToPreferred(fiber, held);
      });
      return;
    }
  }
}

void LaneManager::HandOverToPreferred(Fiber& fiber,
                                      const std::shared_ptr<LaneOwner>& owner) {
  try {
    // A handover block in doubt would delay the lane's calls, so the handover
    // starts only when the service has just answered.
    if (owner->ConfirmOwnership(fiber)) {
      owner->Handover(fiber, kHandoverTimeout);
    }
  } catch (const KvUnavailable&) {
    // Without the service no other daemon could take the lane.
  }
  rebalancing_ = false;
  DropLost();
}

bool LaneManager::IsLive(const std::string& daemon) const {
  return membership_.IsLive(daemon, std::chrono::steady_clock::now());
}

void LaneManager::Take(Fiber& fiber, int lane) {
  auto owner = std::make_shared<LaneOwner>(loop_, kv_, log_, settings_, pacer_,
                                           lane, holder_client_);
  owner->OnApplied(on_applied_);
  try {
    OpenLane(fiber, *owner);
    owned_[lane] = std::move(owner);
  } catch (const std::exception& e) {
    log_.Write({.name = "lane_not_taken", .lane = lane, .detail = e.what()});
  }
  opening_.erase(lane);
  PublishOwnedLanes();
}

// Opens the lane, waiting for the blocks that only the holders have: the lane
// is taken over without them only when all holders have been gone for
// settings_.holder_patience.
void LaneManager::OpenLane(Fiber& fiber, LaneOwner& owner) {
  using Without = LaneOwner::WithoutHolders;
  const auto now = std::chrono::steady_clock::now();
  const auto since = holders_gone_since_.find(owner.lane());
  const bool wait_for_holders = since == holders_gone_since_.end() ||
                                now - since->second < settings_.holder_patience;
  try {
    owner.Open(fiber, owner_check_,
               wait_for_holders ? Without::kRefuse : Without::kTakeOver);
  } catch (const HoldersUnreachable& e) {
    if (e.all_gone()) {
      holders_gone_since_.emplace(owner.lane(), now);
    } else {
      holders_gone_since_.erase(owner.lane());
    }
    throw;
  }
  holders_gone_since_.erase(owner.lane());
}

std::size_t LaneManager::blocks_awaiting_upload() const {
  std::size_t out = 0;
  for (const auto& [lane, owner] : owned_) {
    out += owner->blocks_awaiting_upload();
  }
  return out;
}

std::shared_ptr<LaneOwner> LaneManager::Find(int lane) const {
  const auto it = owned_.find(lane);
  return it == owned_.end() || it->second->lost() ? nullptr : it->second;
}

bool LaneManager::HandOverAll(Fiber& fiber, std::chrono::milliseconds timeout) {
  const auto until = std::chrono::steady_clock::now() + timeout;
  // All handovers run concurrently; in sequence they would take too long with a
  // slow service.
  for (const auto& [lane, owner] : owned_) {
    loop_.Spawn([held = owner, timeout](Fiber& child) {
      held->Handover(child, timeout);
    });
  }
  while (!owned_.empty() && std::chrono::steady_clock::now() < until) {
    fiber.Sleep(kHandoverPollInterval);
    DropLost();
  }
  return owned_.empty();
}

void LaneManager::PublishOwnedLanes() {
  std::vector<OwnedLane> lanes;
  for (const auto& [lane, owner] : owned_) {
    if (!owner->lost()) {
      lanes.push_back({lane, owner->epoch()});
    }
  }
  // Attempts to take a lane fail while the service is unavailable. They must
  // not run the change hook, which makes the daemon confirm its budget grants
  // before it uses them again.
  if (lanes == membership_.self().lanes) {
    return;
  }
  membership_.self().lanes = std::move(lanes);
  if (on_change_) {
    on_change_();
  }
}

}  // namespace comfreyfold
