// Simulates a fleet of the maximum size round by round, without any input or
// output.

#include <map>
#include <set>

#include <boost/test/unit_test.hpp>

#include "core/membership.h"
#include "core/probe_ring.h"
#include "wire/codec.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr int kDaemons = 390;
constexpr int kLanes = 60;
constexpr int kProbesPerRound = 2;
constexpr milliseconds kInterval{300};
constexpr milliseconds kTimeout{1500};
// All daemons have to learn of a death within the 5 s that a takeover may take,
// less the time of two failed probes.
constexpr int kMaxDetectionRounds = 12;
// Limit of a daemon's control traffic.
constexpr double kMaxControlBytesPerSecond = 9000;
// Approximate size of the headers of one message, request or answer.
constexpr double kHeaderBytes = 160;

class Fleet {
 public:
  Fleet() {
    for (int i = 0; i < kDaemons; ++i) {
      Heartbeat self;
      self.daemon = Name(i);
      self.address = "10.0." + std::to_string(i / 250) + "." +
                     std::to_string(i % 250) + ":8080";
      self.data_centre = "dc-" + std::to_string(i % 9);
      self.incarnation = 1;
      if (i < kLanes) {
        self.lanes.push_back({i, 1});
      }
      members_.emplace_back(self, kTimeout);
      members_.back().set_probe_cycle(kInterval * kDaemons / kProbesPerRound *
                                      2);
      rings_.emplace_back(static_cast<std::uint64_t>(i) + 1);
      names_.insert(self.daemon);
    }
    // The state after a restart of the whole fleet: all daemons know each
    // other, and the updates about all of them are still being spread.
    for (auto& it : members_) {
      for (const auto& other : members_) {
        it.Observe(other.self(), now_);
      }
    }
    for (int i = 0; i < kRoundsToSettle; ++i) {
      RunRound();
    }
  }

  static std::string Name(int i) { return "d" + std::to_string(i); }
  Membership& member(int i) { return members_[static_cast<std::size_t>(i)]; }
  void Kill(int i) { killed_.insert(Name(i)); }
  TimePoint now() const { return now_; }
  std::size_t sent_bytes() const { return sent_bytes_; }
  std::size_t messages() const { return messages_; }
  void StartCounting() { counting_ = true; }

  void RunRound() {
    now_ += kInterval;
    for (int i = 0; i < kDaemons; ++i) {
      if (killed_.contains(Name(i))) {
        continue;
      }
      auto& ring = rings_[static_cast<std::size_t>(i)];
      for (const auto& it : ring.Next(names_, kProbesPerRound)) {
        Probe(i, std::stoi(it.substr(1)));
      }
    }
  }

  // Returns the number of live daemons that consider daemon `i` dead.
  int CountConsideringDead(int i) const {
    int out = 0;
    for (const auto& it : members_) {
      const bool counts =
          !killed_.contains(it.self().daemon) && it.self().daemon != Name(i);
      out += counts && !it.IsLive(Name(i), now_) ? 1 : 0;
    }
    return out;
  }

 private:
  static constexpr int kRoundsToSettle = 3;

  void Probe(int from, int to) {
    if (from == to) {
      return;
    }
    auto& a = member(from);
    auto& b = member(to);
    if (killed_.contains(Name(to))) {
      if (a.IsLive(Name(to), now_)) {
        a.Suspect(Name(to));
      }
      return;
    }
    Send(a, b);
    Send(b, a);
  }

  void Send(Membership& from, Membership& to) {
    const auto message = from.Compose(to.self().daemon, ++clock_);
    if (counting_) {
      sent_bytes_ += Encode(message).size();
      ++messages_;
    }
    to.Receive(message, now_);
  }

  std::vector<Membership> members_;
  std::vector<ProbeRing> rings_;
  std::set<std::string> names_;
  std::set<std::string> killed_;
  TimePoint now_{};
  std::int64_t clock_ = 1;
  bool counting_ = false;
  std::size_t sent_bytes_ = 0;
  std::size_t messages_ = 0;
};

BOOST_AUTO_TEST_SUITE(large_fleet)

BOOST_AUTO_TEST_CASE(all_daemons_learn_of_a_death_in_time) {
  Fleet fleet;
  BOOST_TEST(fleet.CountConsideringDead(7) == 0);
  fleet.Kill(7);
  int rounds = 0;
  while (fleet.CountConsideringDead(7) < kDaemons - 1 &&
         rounds < 2 * kMaxDetectionRounds) {
    fleet.RunRound();
    ++rounds;
  }
  BOOST_TEST_MESSAGE("known to all daemons after " << rounds << " rounds");
  BOOST_TEST(rounds <= kMaxDetectionRounds);
  BOOST_TEST(!fleet.member(100).OwnerOf(7, fleet.now()).has_value());
}

BOOST_AUTO_TEST_CASE(a_false_death_report_is_refuted) {
  Fleet fleet;
  fleet.member(3).Suspect(Fleet::Name(7));
  fleet.member(4).Suspect(Fleet::Name(7));
  BOOST_TEST(fleet.CountConsideringDead(7) == 2);
  for (int i = 0; i < 2 * kMaxDetectionRounds; ++i) {
    fleet.RunRound();
  }
  BOOST_TEST(fleet.CountConsideringDead(7) == 0);
  BOOST_TEST(fleet.member(7).self().incarnation > 1);
}

BOOST_AUTO_TEST_CASE(all_daemons_learn_of_a_new_lane_owner) {
  Fleet fleet;
  fleet.member(200).self().lanes.push_back({7, 2});
  for (int i = 0; i < kMaxDetectionRounds; ++i) {
    fleet.RunRound();
  }
  for (int i = 0; i < kDaemons; ++i) {
    const auto owner = fleet.member(i).OwnerOf(7, fleet.now());
    BOOST_REQUIRE(owner.has_value());
    BOOST_TEST(owner->daemon == Fleet::Name(200));
  }
}

BOOST_AUTO_TEST_CASE(traffic_stays_within_the_control_limit) {
  Fleet fleet;
  fleet.StartCounting();
  constexpr int kRounds = 20;
  // The loss of a data centre causes the most updates.
  for (int i = 0; i < kDaemons; i += 9) {
    fleet.Kill(i);
  }
  for (int i = 0; i < kRounds; ++i) {
    fleet.RunRound();
  }
  const double seconds =
      std::chrono::duration<double>(kInterval * kRounds).count();
  const double per_daemon =
      (static_cast<double>(fleet.sent_bytes()) +
       kHeaderBytes * static_cast<double>(fleet.messages())) /
      seconds / kDaemons;
  BOOST_TEST_MESSAGE(per_daemon << " bytes per second and daemon");
  BOOST_TEST(per_daemon < kMaxControlBytesPerSecond);
}

BOOST_AUTO_TEST_CASE(the_probe_ring_visits_every_peer) {
  ProbeRing ring(1);
  std::set<std::string> peers;
  for (int i = 0; i < kDaemons; ++i) {
    peers.insert(Fleet::Name(i));
  }
  std::set<std::string> probed;
  constexpr int kPasses = 2;
  for (int i = 0; i < kPasses * kDaemons / kProbesPerRound; ++i) {
    for (auto& it : ring.Next(peers, kProbesPerRound)) {
      probed.insert(std::move(it));
    }
  }
  BOOST_TEST((probed == peers));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
