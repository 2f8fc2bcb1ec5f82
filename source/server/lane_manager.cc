#include "server/lane_manager.h"

#include <utility>

namespace comfreyfold {

LaneManager::LaneManager(Loop& loop,
                         KvClient& kv,
                         EventLog& log,
                         Membership& membership,
                         int lanes)
    : loop_(loop), kv_(kv), log_(log), membership_(membership), lanes_(lanes) {}

void LaneManager::Tick() {
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
  for (int lane = 0; lane < lanes_; ++lane) {
    if (!opening_.contains(lane) && membership_.ShouldTake(lane, now)) {
      opening_.insert(lane);
      loop_.Spawn([this, lane](Fiber& fiber) { Take(fiber, lane); });
    }
  }
}

void LaneManager::Take(Fiber& fiber, int lane) {
  auto owner = std::make_shared<LaneOwner>(loop_, kv_, log_, lane);
  owner->OnApplied(on_applied_);
  try {
    owner->Open(fiber);
    owned_[lane] = std::move(owner);
  } catch (const std::exception& e) {
    log_.Write({.name = "lane_not_taken", .lane = lane, .detail = e.what()});
  }
  opening_.erase(lane);
  Publish();
}

std::shared_ptr<LaneOwner> LaneManager::Find(int lane) const {
  const auto it = owned_.find(lane);
  return it == owned_.end() || it->second->lost() ? nullptr : it->second;
}

void LaneManager::HandOverAll(Fiber& fiber, std::chrono::milliseconds timeout) {
  // Copied: Tick drops lost lanes while this waits.
  const auto owned = owned_;
  for (const auto& [lane, owner] : owned) {
    owner->Handover(fiber, timeout);
  }
  owned_.clear();
  Publish();
}

void LaneManager::Publish() {
  auto& lanes = membership_.self().lanes;
  lanes.clear();
  for (const auto& [lane, owner] : owned_) {
    if (!owner->lost()) {
      lanes.push_back({lane, owner->epoch()});
    }
  }
  if (on_change_) {
    on_change_();
  }
}

}  // namespace comfreyfold
