#include "core/membership.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <tuple>
#include <utility>

#include "core/hash.h"

namespace comfreyfold {

namespace {

// Each update is sent with this many messages per doubling of the fleet's size.
// The probability that it does not reach every daemon is then negligible.
constexpr int kMessagesPerDoubling = 3;
// Keeps a message within one or two packets.
constexpr std::size_t kMaxNewsPerMessage = 8;

bool SameState(const Heartbeat& a, const Heartbeat& b) {
  return a.address == b.address && a.draining == b.draining &&
         a.lanes == b.lanes && a.incarnation == b.incarnation;
}

}  // namespace

Membership::Membership(Heartbeat self, std::chrono::milliseconds timeout)
    : self_(std::move(self)), timeout_(timeout) {}

void Membership::Observe(const Heartbeat& heartbeat, TimePoint now) {
  if (heartbeat.daemon == self_.daemon) {
    return;
  }
  const auto known = peers_.find(heartbeat.daemon);
  const bool changed =
      known == peers_.end() || !SameState(known->second, heartbeat);
  const auto dead = dead_.find(heartbeat.daemon);
  if (dead != dead_.end()) {
    // The daemon may not have learned yet that it is reported dead and has to
    // refute that with a new incarnation.
    if (heartbeat.incarnation <= dead->second) {
      return;
    }
    dead_.erase(dead);
  }
  if (changed) {
    ScheduleGossip(heartbeat.daemon);
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
  const auto known = peers_.find(daemon);
  if (!probes_sample() || known == peers_.end() || dead_.contains(daemon)) {
    return;
  }
  dead_[daemon] = known->second.incarnation;
  ScheduleGossip(daemon);
}

void Membership::ScheduleGossip(const std::string& daemon) {
  const auto doublings = std::bit_width(peers_.size() + 1);
  gossip_left_[daemon] = kMessagesPerDoubling * static_cast<int>(doublings);
}

bool Membership::IsNewer(const Heartbeat& heartbeat) const {
  const auto known = peers_.find(heartbeat.daemon);
  return known == peers_.end() ||
         std::tie(heartbeat.incarnation, heartbeat.clock) >
             std::tie(known->second.incarnation, known->second.clock);
}

void Membership::ApplyNews(const Heartbeat& heartbeat, TimePoint now) {
  // Updates can return to daemons that have seen them: only a newer heartbeat
  // proves that the daemon is alive.
  if (IsNewer(heartbeat)) {
    Observe(heartbeat, now);
  }
}

void Membership::ApplyDeath(const DeadMember& dead) {
  if (dead.daemon == self_.daemon) {
    self_.incarnation = std::max(self_.incarnation, dead.incarnation + 1);
    return;
  }
  const auto known = peers_.find(dead.daemon);
  if (known == peers_.end() || dead_.contains(dead.daemon)) {
    return;
  }
  if (known->second.incarnation <= dead.incarnation) {
    dead_[dead.daemon] = dead.incarnation;
  }
  // Otherwise the daemon has already refuted its death, and the sender still
  // has to learn of that.
  ScheduleGossip(dead.daemon);
}

void Membership::Receive(const MemberMessage& message, TimePoint now) {
  for (const auto& it : message.dead) {
    ApplyDeath(it);
  }
  for (const auto& it : message.news) {
    ApplyNews(it, now);
  }
  Observe(message.sender, now);
}

void Membership::AddNews(const std::string& daemon,
                         MemberMessage& message) const {
  const auto dead = dead_.find(daemon);
  if (dead != dead_.end()) {
    message.dead.push_back({daemon, dead->second});
    return;
  }
  const auto known = peers_.find(daemon);
  if (known != peers_.end()) {
    message.news.push_back(known->second);
  }
}

int Membership::GossipPriority(const std::string& daemon) const {
  // When a whole fleet restarts there are updates about every daemon. Deaths
  // are sent first, because a lane waits for its next owner, and then the
  // updates about owners of lanes.
  if (dead_.contains(daemon)) {
    return 2;
  }
  const auto known = peers_.find(daemon);
  return known != peers_.end() && !known->second.lanes.empty() ? 1 : 0;
}

MemberMessage Membership::Compose(const std::string& peer, std::int64_t clock) {
  MemberMessage out;
  out.sender = self_;
  out.sender.clock = clock;
  if (dead_.contains(peer)) {
    AddNews(peer, out);
  }
  if (!probes_sample()) {
    return out;
  }
  std::vector<std::tuple<int, int, std::string>> items;
  for (const auto& [daemon, left] : gossip_left_) {
    if (daemon != peer) {
      items.emplace_back(GossipPriority(daemon), left, daemon);
    }
  }
  // Among updates of the same priority, those sent least often come first.
  const auto n = std::min(items.size(), kMaxNewsPerMessage);
  std::partial_sort(items.begin(),
                    items.begin() + static_cast<std::ptrdiff_t>(n), items.end(),
                    std::greater<>());
  items.resize(n);
  for (const auto& [priority, left, daemon] : items) {
    AddNews(daemon, out);
    if (--gossip_left_[daemon] <= 0) {
      gossip_left_.erase(daemon);
    }
  }
  return out;
}

bool Membership::IsLive(const std::string& daemon, TimePoint now) const {
  if (daemon == self_.daemon) {
    return true;
  }
  if (dead_.contains(daemon)) {
    return false;
  }
  const auto it = last_heard_.find(daemon);
  return it != last_heard_.end() && now - it->second < timeout_ + probe_cycle_;
}

std::vector<std::string> Membership::EligibleDaemons(TimePoint now) const {
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
  // An idle owner does not notice that it was superseded. If its claim counted
  // once the newest owner has died, no daemon would take over the lane.
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
      RendezvousOrder("lane/" + std::to_string(lane), EligibleDaemons(now));
  return order.empty() ? std::string() : order.front();
}

bool Membership::ShouldTakeLane(int lane, TimePoint now) const {
  return !self_.draining && !OwnerOf(lane, now) &&
         PreferredOwner(lane, now) == self_.daemon;
}

}  // namespace comfreyfold
