// Servers that leave while most daemons do not ask them, and one that does
// is dead or frozen.

#include <csignal>

#include <boost/test/unit_test.hpp>

#include "process/in_cluster.h"

namespace comfreyfold::process {
namespace {

using harness::Cluster;
using harness::ClusterOptions;

// New work may come to a leaving server this long.
constexpr std::chrono::seconds kBound{3};
constexpr char kServer[] = "engine-0";

ClusterOptions TwoFollowEach() {
  ClusterOptions out;
  out.daemons = 5;
  out.settings["calls"] = "every_daemon_follows_up_to = 0\n";
  return out;
}

bool Shows(Cluster& cluster, int daemon, const char* field) {
  const auto status = cluster.Status(daemon);
  if (!status.is_object()) {
    return false;
  }
  for (const auto& it : status["backends"]) {
    if (it["id"] == kServer) {
      return it[field].get<bool>();
    }
  }
  return false;
}

std::vector<int> Followers(Cluster& cluster) {
  std::vector<int> out;
  for (int i = 0; i < cluster.daemons(); ++i) {
    if (Shows(cluster, i, "followed")) {
      out.push_back(i);
    }
  }
  return out;
}

// The engine begins to leave right after `lose` has struck one of the two
// daemons that follow it; every other daemon knows within the bound.
void LeaveAfter(Cluster& cluster, const std::function<void(int)>& lose) {
  cluster.WaitFor("two followers",
                  [&] { return Followers(cluster).size() == 2; });
  const int lost = Followers(cluster).front();
  lose(lost);
  cluster.http().Send(cluster.fiber(), cluster.engine(0).address(),
                      {"POST", "/drain"});
  cluster.WaitFor(
      "every daemon to know that the engine leaves",
      [&] {
        for (int i = 0; i < cluster.daemons(); ++i) {
          if (i != lost && !Shows(cluster, i, "leaving")) {
            return false;
          }
        }
        return true;
      },
      kBound);
}

BOOST_AUTO_TEST_SUITE(leaving)

BOOST_AUTO_TEST_CASE(all_know_of_a_leaving_server_with_one_follower_frozen) {
  InCluster(TwoFollowEach(), [](Fiber&, Cluster& cluster) {
    int frozen = 0;
    LeaveAfter(cluster, [&](int follower) {
      frozen = follower;
      cluster.daemon(follower).Signal(SIGSTOP);
    });
    cluster.daemon(frozen).Signal(SIGCONT);
    cluster.WaitFor("the follower that was frozen to know it too",
                    [&] { return Shows(cluster, frozen, "leaving"); });
  });
}

BOOST_AUTO_TEST_CASE(all_know_of_a_leaving_server_with_one_follower_dead) {
  InCluster(TwoFollowEach(), [](Fiber&, Cluster& cluster) {
    LeaveAfter(cluster, [&](int follower) { cluster.daemon(follower).Kill(); });
    // Another one follows in its place.
    cluster.WaitFor("two followers again",
                    [&] { return Followers(cluster).size() == 2; });
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::process
