// Polling of servers' load reports at the design size of a fleet.

#include <set>

#include <boost/test/unit_test.hpp>

#include "core/load_followers.h"
#include "wire/codec.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr int kDaemons = 390;
constexpr int kServers = 600;
constexpr milliseconds kInterval{500};
// What the limits on control traffic allow per daemon: docs/CAPACITY.md.
constexpr double kMaxPollsPerSecond = 25;

std::vector<std::string> MakeNames(const char* stem, int n) {
  std::vector<std::string> out;
  out.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i) {
    out.push_back(stem + std::to_string(i));
  }
  return out;
}

// Returns which of `daemons` follow `server` when all know the daemons in
// `view`.
std::set<std::string> FollowersOf(const std::string& server,
                                  const std::vector<std::string>& daemons,
                                  const std::vector<std::string>& view) {
  std::set<std::string> out;
  for (const auto& it : daemons) {
    LoadFollowers followers(it, {});
    followers.SetDaemons(view);
    if (followers.Follows(server)) {
      out.insert(it);
    }
  }
  return out;
}

BOOST_AUTO_TEST_SUITE(load_followers)

BOOST_AUTO_TEST_CASE(each_server_has_two_followers_and_a_dead_one_is_replaced) {
  const auto daemons = MakeNames("d", kDaemons);
  for (const auto& server : MakeNames("engine-", 40)) {
    const auto follower_pair = FollowersOf(server, daemons, daemons);
    BOOST_TEST(follower_pair.size() == 2U);
    auto remaining = daemons;
    std::erase(remaining, *follower_pair.begin());
    const auto new_pair = FollowersOf(server, remaining, remaining);
    BOOST_TEST(new_pair.size() == 2U);
    // The live follower stays, so that polling does not pause.
    BOOST_TEST(new_pair.contains(*follower_pair.rbegin()));
  }
}

BOOST_AUTO_TEST_CASE(all_daemons_of_a_small_fleet_follow_every_server) {
  const auto daemons = MakeNames("d", 9);
  BOOST_TEST(FollowersOf("engine-1", daemons, daemons).size() == 9U);
}

BOOST_AUTO_TEST_CASE(polls_stay_within_control_traffic_limit) {
  const auto daemons = MakeNames("d", kDaemons);
  std::size_t polls = 0;
  constexpr int kSampledDaemons = 20;
  constexpr int kRounds = 240;
  for (int i = 0; i < kSampledDaemons; ++i) {
    LoadFollowers followers(daemons[static_cast<std::size_t>(i)], {});
    followers.SetDaemons(daemons);
    TimePoint now{};
    std::vector<PolledServer> servers;
    for (const auto& it : MakeNames("engine-", kServers)) {
      // Half of them always run calls of this daemon.
      servers.push_back({it, servers.size() % 2 == 0, now});
    }
    for (int round = 0; round < kRounds; ++round) {
      now += kInterval;
      for (const auto& id : followers.ServersToPoll(servers, now)) {
        servers[std::stoul(id.substr(id.find('-') + 1))].last_polled = now;
        ++polls;
      }
    }
  }
  const double seconds =
      std::chrono::duration<double>(kInterval * kRounds).count();
  const double rate = static_cast<double>(polls) / seconds / kSampledDaemons;
  BOOST_TEST_MESSAGE(rate << " polls per second per daemon");
  BOOST_TEST(rate <= kMaxPollsPerSecond);
}

BOOST_AUTO_TEST_CASE(every_server_is_polled_first_and_idle_ones_in_rotation) {
  LoadFollowers followers("d0", {});
  followers.SetDaemons(MakeNames("d", kDaemons));
  std::vector<PolledServer> servers;
  for (const auto& it : MakeNames("engine-", kServers)) {
    servers.push_back({it, false, std::nullopt});
  }
  TimePoint now{};
  BOOST_TEST(followers.ServersToPoll(servers, now).size() == servers.size());
  for (auto& it : servers) {
    it.last_polled = now;
  }
  std::set<std::string> polled;
  constexpr std::chrono::minutes kDuration{3};
  for (const auto end = now + kDuration; now < end; now += kInterval) {
    for (const auto& id : followers.ServersToPoll(servers, now)) {
      servers[std::stoul(id.substr(id.find('-') + 1))].last_polled = now;
      polled.insert(id);
    }
  }
  BOOST_TEST(polled.size() == servers.size());
}

BOOST_AUTO_TEST_CASE(server_news_round_trips_through_codec) {
  const ServerNews news{{{"engine-1", ServerCondition::kDraining, 7, 64},
                         {"engine-2", ServerCondition::kUnreachable, 8, 0}}};
  const auto decoded = DecodeServerNews(Encode(news));
  BOOST_REQUIRE(decoded.servers.size() == 2U);
  BOOST_TEST(decoded.servers[0].server == "engine-1");
  BOOST_TEST((decoded.servers[0].condition == ServerCondition::kDraining));
  BOOST_TEST(decoded.servers[0].clock == 7);
  BOOST_TEST(decoded.servers[0].slots == 64);
  BOOST_TEST((decoded.servers[1].condition == ServerCondition::kUnreachable));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
