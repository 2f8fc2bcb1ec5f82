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

struct LaneOwnerView {
  std::string daemon;
  std::string address;
  std::int64_t epoch = 0;
};

// One daemon's opinion of which daemons live and who owns which lane.
// Being wrong costs latency only: a lane's journal decides who owns it.
//
// A small fleet's daemons all hear each other, and silence is death. In a
// large one each probes a few peers a round (SWIM: Das, Gupta, Motivala,
// 2002): a probe that fails is death, and what changed spreads as news on
// the probes, so that a daemon's traffic does not grow with the fleet.
class Membership {
 public:
  // A daemon is suspected after `timeout` without a heartbeat.
  Membership(Heartbeat self, std::chrono::milliseconds timeout);

  Heartbeat& self() { return self_; }
  const Heartbeat& self() const { return self_; }

  // A heartbeat received from another daemon.
  void Observe(const Heartbeat& heartbeat, TimePoint now);

  // The daemon could not be reached: suspect it at once.
  void Suspect(const std::string& daemon);

  // The time in which every peer is probed once; zero while each is probed
  // every round.
  void set_probe_cycle(std::chrono::milliseconds time) { probe_cycle_ = time; }
  bool probes_sample() const { return probe_cycle_.count() > 0; }

  // The message for `peer` (empty: not known who that is) at `clock`.
  MemberMessage Compose(const std::string& peer, std::int64_t clock);

  // A message received.
  void Receive(const MemberMessage& message, TimePoint now);

  bool IsLive(const std::string& daemon, TimePoint now) const;

  // Daemons that may take lanes: live, not draining, this one included.
  std::vector<std::string> EligibleDaemons(TimePoint now) const;

  // The newest claim to `lane` by a daemon that still lives. A claim older
  // than one heard before is void, whether or not its daemon knows.
  std::optional<LaneOwnerView> OwnerOf(int lane, TimePoint now) const;

  // True when nobody alive owns `lane` and this daemon is the first choice.
  bool ShouldTakeLane(int lane, TimePoint now) const;

  // The daemon that should own `lane` now.
  std::string PreferredOwner(int lane, TimePoint now) const;

  const std::map<std::string, Heartbeat>& peers() const { return peers_; }

 private:
  bool IsNewer(const Heartbeat& heartbeat) const;
  void TakeNews(const Heartbeat& heartbeat, TimePoint now);
  void TakeDeath(const DeadMember& dead);
  void Spread(const std::string& daemon);
  int Urgency(const std::string& daemon) const;
  void AddNews(const std::string& daemon, MemberMessage& message) const;

  Heartbeat self_;
  std::chrono::milliseconds timeout_;
  std::chrono::milliseconds probe_cycle_{};
  std::map<std::string, std::int64_t> dead_;  // Incarnation by daemon.
  std::map<std::string, int> to_spread_;      // Messages left by daemon.
  std::map<std::string, Heartbeat> peers_;
  std::map<std::string, TimePoint> last_heard_;
  std::map<int, std::int64_t> newest_epochs_;  // Ever heard, by lane.
};

}  // namespace comfreyfold

#endif  // CORE_MEMBERSHIP_H_
