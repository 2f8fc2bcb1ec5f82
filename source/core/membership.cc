#include "core/membership.h"

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
  const auto consider = [&out, lane](const Heartbeat& heartbeat) {
    for (const auto& it : heartbeat.lanes) {
      if (it.lane == lane && (!out || it.epoch > out->epoch)) {
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
