// The sharing of servers' load reports at the size to design for.

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
// What the bounds of control leave: docs/CAPACITY.md.
constexpr double kAsksPerSecond = 25;

std::vector<std::string> Names(const char* stem, int n) {
  std::vector<std::string> out;
  out.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i) {
    out.push_back(stem + std::to_string(i));
  }
  return out;
}

// Daemons out of `daemons` that follow `server`, each by its own `view`.
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

BOOST_AUTO_TEST_CASE(two_follow_each_server_and_one_dead_is_replaced) {
  const auto daemons = Names("d", kDaemons);
  for (const auto& server : Names("engine-", 40)) {
    const auto two = FollowersOf(server, daemons, daemons);
    BOOST_TEST(two.size() == 2U);
    auto left = daemons;
    std::erase(left, *two.begin());
    const auto next = FollowersOf(server, left, left);
    BOOST_TEST(next.size() == 2U);
    // Who still lives goes on: nobody has to find out first.
    BOOST_TEST(next.contains(*two.rbegin()));
  }
}

BOOST_AUTO_TEST_CASE(a_small_fleet_follows_all) {
  const auto daemons = Names("d", 9);
  BOOST_TEST(FollowersOf("engine-1", daemons, daemons).size() == 9U);
}

BOOST_AUTO_TEST_CASE(a_daemon_asks_within_what_control_may_spend) {
  const auto daemons = Names("d", kDaemons);
  std::size_t asked = 0;
  constexpr int kWatched = 20;
  constexpr int kRounds = 240;
  for (int i = 0; i < kWatched; ++i) {
    LoadFollowers followers(daemons[static_cast<std::size_t>(i)], {});
    followers.SetDaemons(daemons);
    TimePoint now{};
    std::vector<PolledServer> servers;
    for (const auto& it : Names("engine-", kServers)) {
      // Half of them serve calls of this daemon all the time.
      servers.push_back({it, servers.size() % 2 == 0, now});
    }
    for (int round = 0; round < kRounds; ++round) {
      now += kInterval;
      for (const auto& id : followers.ServersToPoll(servers, now)) {
        servers[std::stoul(id.substr(id.find('-') + 1))].last_polled = now;
        ++asked;
      }
    }
  }
  const double seconds =
      std::chrono::duration<double>(kInterval * kRounds).count();
  const double rate = static_cast<double>(asked) / seconds / kWatched;
  BOOST_TEST_MESSAGE(rate << " asked a second a daemon");
  BOOST_TEST(rate <= kAsksPerSecond);
}

BOOST_AUTO_TEST_CASE(every_server_is_asked_at_first_and_idle_ones_in_turn) {
  LoadFollowers followers("d0", {});
  followers.SetDaemons(Names("d", kDaemons));
  std::vector<PolledServer> servers;
  for (const auto& it : Names("engine-", kServers)) {
    servers.push_back({it, false, std::nullopt});
  }
  TimePoint now{};
  BOOST_TEST(followers.ServersToPoll(servers, now).size() == servers.size());
  for (auto& it : servers) {
    it.last_polled = now;
  }
  std::set<std::string> again;
  constexpr std::chrono::minutes kTurn{3};
  for (const auto end = now + kTurn; now < end; now += kInterval) {
    for (const auto& id : followers.ServersToPoll(servers, now)) {
      servers[std::stoul(id.substr(id.find('-') + 1))].last_polled = now;
      again.insert(id);
    }
  }
  BOOST_TEST(again.size() == servers.size());
}

BOOST_AUTO_TEST_CASE(news_of_servers_crosses_the_wire_whole) {
  const ServerNews news{{{"engine-1", ServerCondition::kDraining, 7, 64},
                         {"engine-2", ServerCondition::kUnreachable, 8, 0}}};
  const auto read = DecodeServerNews(Encode(news));
  BOOST_REQUIRE(read.servers.size() == 2U);
  BOOST_TEST(read.servers[0].server == "engine-1");
  BOOST_TEST((read.servers[0].condition == ServerCondition::kDraining));
  BOOST_TEST(read.servers[0].clock == 7);
  BOOST_TEST(read.servers[0].slots == 64);
  BOOST_TEST((read.servers[1].condition == ServerCondition::kUnreachable));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
