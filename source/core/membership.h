#ifndef CORE_MEMBERSHIP_H_
#define CORE_MEMBERSHIP_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/heartbeat.h"
#include "core/time_point.h"

namespace comfreyfold {

// The owner of a lane as known to this daemon.
struct LaneOwnerView {
  std::string daemon;
  std::string address;
  std::int64_t epoch = 0;
};

// One daemon's view of which daemons are alive and which daemon owns which
// lane. An error costs latency only, because the journal of a lane decides who
// owns it.
//
// In a small fleet all daemons exchange heartbeats with each other, and a
// daemon that is silent for too long is considered dead. In a large fleet each
// daemon probes a few peers per round (SWIM: Das, Gupta, Motivala, 2002). A
// peer whose probe fails is considered dead, and changes spread as gossip on
// the probes, so that the traffic of a daemon does not grow with the fleet.
class Membership {
 public:
  // A daemon is considered dead after `timeout` without a heartbeat.
  Membership(Heartbeat self, std::chrono::milliseconds timeout);

  Heartbeat& self() { return self_; }
  const Heartbeat& self() const { return self_; }

  // Records a heartbeat of another daemon.
  void Observe(const Heartbeat& heartbeat, TimePoint now);

  // Records that the daemon could not be reached, so that it is considered dead
  // at once.
  void Suspect(const std::string& daemon);

  // Sets the time in which every peer is probed at least once. Zero means that
  // all peers are probed in every round.
  void set_probe_cycle(std::chrono::milliseconds time) { probe_cycle_ = time; }
  // True when each round probes only some of the peers.
  bool probes_sample() const { return probe_cycle_.count() > 0; }

  // Returns the message to send to `peer` at `clock`. `peer` is empty when the
  // id of the daemon at that address is not known.
  MemberMessage Compose(const std::string& peer, std::int64_t clock);

  // Applies a message from another daemon.
  void Receive(const MemberMessage& message, TimePoint now);

  bool IsLive(const std::string& daemon, TimePoint now) const;

  // Returns the daemons that may own lanes: those that are alive and not
  // draining, including this one.
  std::vector<std::string> EligibleDaemons(TimePoint now) const;

  // Returns the newest claim to `lane` by a daemon that is alive. A claim with
  // an older epoch than any seen before is ignored, even if the daemon that
  // makes it has not noticed that it was superseded.
  std::optional<LaneOwnerView> OwnerOf(int lane, TimePoint now) const;

  // True when no daemon that is alive owns `lane` and this daemon is the
  // preferred owner.
  bool ShouldTakeLane(int lane, TimePoint now) const;

  // Returns the daemon that should own `lane`, or an empty string if there is
  // none.
  std::string PreferredOwner(int lane, TimePoint now) const;

  const std::map<std::string, Heartbeat>& peers() const { return peers_; }

 private:
  bool IsNewer(const Heartbeat& heartbeat) const;
  void ApplyNews(const Heartbeat& heartbeat, TimePoint now);
  void ApplyDeath(const DeadMember& dead);
  void ScheduleGossip(const std::string& daemon);
  int GossipPriority(const std::string& daemon) const;
  void AddNews(const std::string& daemon, MemberMessage& message) const;

  Heartbeat self_;
  std::chrono::milliseconds timeout_;
  std::chrono::milliseconds probe_cycle_{};
  // Incarnation at which each dead daemon was last known, by daemon.
  std::map<std::string, std::int64_t> dead_;
  // Number of messages that are still to carry the update about each daemon.
  std::map<std::string, int> gossip_left_;
  std::map<std::string, Heartbeat> peers_;
  std::map<std::string, TimePoint> last_heard_;
  std::map<int, std::int64_t> newest_epochs_;  // Newest epoch seen, by lane.
};

}  // namespace comfreyfold

#endif  // CORE_MEMBERSHIP_H_
