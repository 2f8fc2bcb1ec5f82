#include "core/membership.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"

namespace comfreyfold {

Membership::Membership(Heartbeat self, std::chrono::milliseconds timeout)
    : self_(std::move(self)), timeout_(timeout) {}

void Membership::Observe(const Heartbeat& heartbeat, TimePoint now) {
  if (heartbeat.daemon == self_.daemon) {
    return;
  }
  peers_[heartbeat.daemon] = heartbeat;
  last_heard_[heartbeat.daemon] = now;
  for (const auto& it : heartbeat.lanes) {
    auto& newest = newest_epochs_[it.lane];
    newest = std::max(newest, it.epoch);
  }
}

void Membership::Suspect(const std::string& daemon) {
  last_heard_.erase(daemon);
}

bool Membership::IsLive(const std::string& daemon, TimePoint now) const {
  if (daemon == self_.daemon) {
    return true;
  }
  const auto it = last_heard_.find(daemon);
  return it != last_heard_.end() && now - it->second < timeout_;
}

std::vector<std::string> Membership::Eligible(TimePoint now) const {
  std::vector<std::string> out;
  if (!self_.draining) {
    out.push_back(self_.daemon);
  }
  for (const auto& [daemon, heartbeat] : peers_) {
    if (!heartbeat.draining && IsLive(daemon, now)) {
      out.push_back(daemon);
    }
  }
  return out;
}

std::optional<LaneOwnerView> Membership::OwnerOf(int lane,
                                                 TimePoint now) const {
  std::optional<LaneOwnerView> out;
  // An idle owner does not notice that it was superseded. Were its claim to
  // count when the newest owner dies, nobody would take the lane.
  const auto known = newest_epochs_.find(lane);
  const auto newest = known == newest_epochs_.end() ? 0 : known->second;
  const auto consider = [&out, lane, newest](const Heartbeat& heartbeat) {
    for (const auto& it : heartbeat.lanes) {
      if (it.lane == lane && it.epoch >= newest &&
          (!out || it.epoch > out->epoch)) {
        out = LaneOwnerView{heartbeat.daemon, heartbeat.address, it.epoch};
      }
    }
  };
  consider(self_);
  for (const auto& [daemon, heartbeat] : peers_) {
    if (IsLive(daemon, now)) {
      consider(heartbeat);
    }
  }
  return out;
}

std::string Membership::PreferredOwner(int lane, TimePoint now) const {
  const auto order =
      RendezvousOrder("lane/" + std::to_string(lane), Eligible(now));
  return order.empty() ? std::string() : order.front();
}

bool Membership::ShouldTake(int lane, TimePoint now) const {
  return !self_.draining && !OwnerOf(lane, now) &&
         PreferredOwner(lane, now) == self_.daemon;
}

}  // namespace comfreyfold
