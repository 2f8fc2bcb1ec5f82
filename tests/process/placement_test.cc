#include <csignal>

#include <boost/test/unit_test.hpp>

#include "core/hash.h"
#include "process/in_cluster.h"
#include "server/order_fence.h"

namespace comfreyfold::process {
namespace {

using harness::Cluster;
using harness::ClusterOptions;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kModel[] = "quote-large";
constexpr char kEngine[] = "engine-0";
// A frozen daemon does not confirm: the tool need not wait long for it.
const std::vector<std::string> kApply{"apply", "--wait", "3"};

std::string PlacementText(int version, int copies = 1) {
  return "[placement]\nkind = model\nname = " + std::string(kModel) +
         "\nversion = " + std::to_string(version) +
         "\ncopies = " + std::to_string(copies) + "\n";
}

ClusterOptions Placing(int engines, bool check_fencing) {
  auto out = PatientDaemons();
  out.engines = engines;
  out.weight_store = true;
  out.engines_check_fencing = check_fencing;
  out.settings["placement"] = "interval = 200ms\nclaim = 4s\n";
  return out;
}

std::int64_t VersionAt(Cluster& cluster, int engine) {
  const auto audit = cluster.Audit(cluster.engine(engine));
  return audit["state"]["models"].value(kModel, std::int64_t{0});
}

void WaitForVersion(Cluster& cluster, int engine, std::int64_t version) {
  cluster.WaitFor("the version to be placed",
                  [&] { return VersionAt(cluster, engine) == version; });
}

// The daemon that every daemon takes for the engine's steward.
int Steward(const Cluster& cluster) {
  std::vector<std::string> daemons;
  daemons.reserve(static_cast<std::size_t>(cluster.daemons()));
  for (int i = 0; i < cluster.daemons(); ++i) {
    daemons.push_back("d" + std::to_string(i));
  }
  const auto order =
      RendezvousOrder("steward/" + std::string(kEngine), daemons);
  return std::stoi(order.front().substr(1));
}

// Fails on a version carried out after a higher one.
void CheckNeverBack(Cluster& cluster, int engine) {
  std::int64_t highest = 0;
  const auto audit = cluster.Audit(cluster.engine(engine));
  for (const auto& it : audit["orders"]) {
    if (it["carried_out"].get<bool>()) {
      const auto version = it["version"].get<std::int64_t>();
      BOOST_TEST(version >= highest);
      highest = std::max(highest, version);
    }
  }
  BOOST_TEST(highest > 0);
}

// Freezes the steward between the number for version 2 and its order, and
// wakes it after another daemon has placed version 3.
void FreezeBetweenNumberAndOrder(Cluster& cluster, const char* woken_event) {
  cluster.Apply({PlacementText(1)});
  WaitForVersion(cluster, 0, 1);
  const int steward = Steward(cluster);
  const auto fault = "late placement/" + std::string(kEngine);
  cluster.InjectFault(cluster.kv(), fault, 1, milliseconds(1000));
  const auto second = cluster.RunOperatorToolOnFile(kApply, PlacementText(2));
  cluster.WaitFor("the number to be taken", [&] {
    return cluster.Audit(cluster.kv())["faults_shown"].contains(fault);
  });
  cluster.daemon(steward).Signal(SIGSTOP);
  BOOST_TEST(second->Wait(seconds(30)) >= 0);
  const auto third = cluster.RunOperatorToolOnFile(kApply, PlacementText(3));
  WaitForVersion(cluster, 0, 3);
  cluster.daemon(steward).Signal(SIGCONT);
  cluster.WaitFor("the frozen steward to go on",
                  [&] { return cluster.EventSeen(steward, woken_event); });
  third->Wait(seconds(30));
  BOOST_TEST(VersionAt(cluster, 0) == 3);
  CheckNeverBack(cluster, 0);
}

BOOST_AUTO_TEST_SUITE(placement)

BOOST_AUTO_TEST_CASE(placed_on_as_many_engines_and_changed_by_the_operators) {
  InCluster(Placing(4, true), [](Fiber&, Cluster& cluster) {
    cluster.Apply({PlacementText(1, 3)});
    const auto placed = [&](std::int64_t version) {
      int n = 0;
      for (int i = 0; i < cluster.engines(); ++i) {
        n += VersionAt(cluster, i) == version ? 1 : 0;
      }
      return n;
    };
    cluster.WaitFor("three copies", [&] { return placed(1) == 3; });
    cluster.Apply({PlacementText(2, 4)});
    // More engines than the weight store serves readers in a second.
    cluster.WaitFor("four copies", [&] { return placed(2) == 4; });
    for (int i = 0; i < cluster.engines(); ++i) {
      CheckNeverBack(cluster, i);
    }
  });
}

BOOST_AUTO_TEST_CASE(tool_checks_placements_and_shows_what_changes) {
  InCluster(Placing(1, true), [](Fiber&, Cluster& cluster) {
    cluster.Apply({PlacementText(1)});
    const auto diff = cluster.RunOperatorToolOnFile({"diff"}, PlacementText(2));
    BOOST_TEST(diff->Wait(seconds(30)) == 0);
    BOOST_TEST(diff->output().find("version: 1 -> 2") != std::string::npos);
    const auto good =
        cluster.RunOperatorToolOnFile({"validate"}, PlacementText(2));
    BOOST_TEST(good->Wait(seconds(30)) == 0);
    const auto bad =
        cluster.RunOperatorToolOnFile({"validate"}, PlacementText(0));
    BOOST_TEST(bad->Wait(seconds(30)) != 0);
    WaitForVersion(cluster, 0, 1);
  });
}

BOOST_AUTO_TEST_CASE(engine_started_again_gets_what_it_lost) {
  InCluster(Placing(1, true), [](Fiber&, Cluster& cluster) {
    cluster.Apply({PlacementText(4)});
    WaitForVersion(cluster, 0, 4);
    cluster.RestartEngine(0);
    WaitForVersion(cluster, 0, 4);
    BOOST_TEST(VersionAt(cluster, 0) == 4);
  });
}

BOOST_AUTO_TEST_CASE(frozen_steward_is_refused_by_an_engine_that_checks) {
  InCluster(Placing(1, true), [](Fiber&, Cluster& cluster) {
    FreezeBetweenNumberAndOrder(cluster, "order_refused");
  });
}

BOOST_AUTO_TEST_CASE(frozen_steward_sends_nothing_to_one_that_does_not) {
  InCluster(Placing(1, false), [](Fiber&, Cluster& cluster) {
    FreezeBetweenNumberAndOrder(cluster, "order_abandoned");
    const auto audit = cluster.Audit(cluster.engine(0));
    for (const auto& it : audit["orders"]) {
      BOOST_TEST(!it["old"].get<bool>());
    }
  });
}

BOOST_AUTO_TEST_CASE(fence_gives_no_number_to_an_old_plan_or_a_second_holder) {
  InCluster(Placing(1, false), [](Fiber& fiber, Cluster& cluster) {
    KvClient kv(cluster.http(), cluster.kv().address(), seconds(2));
    OrderFence first(kv, "a", seconds(60));
    OrderFence second(kv, "b", seconds(60));
    const auto revision = kv.Get(fiber, "contracts/change")->mod_revision;
    BOOST_TEST(!first.Acquire(fiber, "x", revision - 1, false).has_value());
    const auto held = first.Acquire(fiber, "x", revision, true);
    BOOST_REQUIRE(held.has_value());
    BOOST_TEST(!second.Acquire(fiber, "x", revision, true).has_value());
    first.Release(fiber, *held);
    const auto next = second.Acquire(fiber, "x", revision, true);
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(next->fencing > held->fencing);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::process
