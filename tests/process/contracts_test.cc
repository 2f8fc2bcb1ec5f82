#include <csignal>

#include <boost/test/unit_test.hpp>

#include "harness/caller.h"
#include "process/chat.h"
#include "process/contract_files.h"
#include "process/in_cluster.h"

namespace comfreyfold::process {
namespace {

using harness::Cluster;
using harness::Process;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kApplied = 0;
constexpr int kConflict = 3;
constexpr int kNotConfirmed = 5;
constexpr milliseconds kBound{5000};

std::int64_t Revision(Cluster& cluster, int index) {
  const auto status = cluster.Status(index);
  return status.is_object() ? status["contracts_revision"].get<std::int64_t>()
                            : -1;
}

void WaitShown(Cluster& cluster, const std::string& fault) {
  cluster.WaitFor("the write to take effect", [&] {
    const auto audit = cluster.Audit(cluster.kv());
    return audit.is_object() && audit["faults_shown"].contains(fault);
  });
}

// Removes lakeshore's contract while daemon 1 is frozen, then lets it go
// on. Its callers must not be served there again, not even once.
void RemoveWhileFrozen(Fiber& fiber, Cluster& cluster, bool service_out) {
  ChatTurn turn{"kiosk", "before"};
  turn.api_key = harness::kKioskKey;
  BOOST_TEST(Chat(fiber, cluster, 1, turn).status == 200);
  cluster.daemon(1).Signal(SIGSTOP);
  const auto removed =
      cluster.RunOperatorTool({"--wait", "2", "--json", "remove", "lakeshore"});
  BOOST_TEST(removed->Wait(seconds(30)) == kNotConfirmed);
  const auto report = json::parse(removed->output());
  for (const auto& it : report["daemons"]) {
    const bool frozen = it["address"] == cluster.daemon(1).address();
    BOOST_TEST(it["in_force"].get<bool>() != frozen);
  }
  if (service_out) {
    cluster.InjectFault(cluster.kv(), "out", -1);
  }
  cluster.daemon(1).Signal(SIGCONT);
  turn.key = "after";
  const auto after = Chat(fiber, cluster, 1, turn);
  const bool refused = after.status == 401 || after.status == 503;
  BOOST_TEST(refused);
  BOOST_TEST(after.verdict == "not_run");
  const auto newest = Revision(cluster, 0);
  cluster.WaitFor(
      "the woken daemon to have the newest contracts",
      [&] { return Revision(cluster, 1) == newest; }, kBound);
  BOOST_TEST(Chat(fiber, cluster, 1, turn).status == 401);
}

BOOST_AUTO_TEST_SUITE(contracts)

BOOST_AUTO_TEST_CASE(racing_operators_get_one_clear_outcome_each) {
  InCluster({}, [](Fiber&, Cluster& cluster) {
    constexpr int kOperators = 6;
    ContractFiles files;
    std::vector<std::unique_ptr<Process>> tools;
    for (int i = 0; i < kOperators; ++i) {
      const auto text = ContractWith(
          "tokens = " + std::to_string(100000 + i) + "\nperiod = 24h",
          "turns = 9");
      tools.push_back(cluster.RunOperatorTool(
          {"--json", "apply", files.Write("race-" + std::to_string(i), text)}));
    }
    std::int64_t newest = 0;
    int winner = -1;
    int applied = 0;
    for (int i = 0; i < kOperators; ++i) {
      auto& tool = *tools[static_cast<std::size_t>(i)];
      const int code = tool.Wait(seconds(40));
      const auto report = json::parse(tool.output());
      const bool clear = (code == kApplied && report["outcome"] == "applied") ||
                         (code == kConflict && report["outcome"] == "conflict");
      BOOST_TEST(clear, tool.output());
      applied += code == kApplied ? 1 : 0;
      const auto revision = report["revision"].get<std::int64_t>();
      if (revision > newest) {
        newest = revision;
        winner = i;
      }
    }
    BOOST_TEST(applied >= 1);
    BOOST_TEST_MESSAGE(kOperators << " operators: " << applied << " applied, "
                                  << kOperators - applied << " conflicts");
    for (int i = 0; i < cluster.daemons(); ++i) {
      BOOST_TEST(Revision(cluster, i) == newest);
    }
    const auto get = cluster.RunOperatorTool({"get", "bandwerk"});
    BOOST_TEST(get->Wait(seconds(20)) == 0);
    const auto wanted = "tokens = " + std::to_string(100000 + winner) + "\n";
    BOOST_TEST(get->output().find(wanted) != std::string::npos);
  });
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_settled_though_another_change_followed) {
  InCluster({}, [](Fiber&, Cluster& cluster) {
    ContractFiles files;
    const auto first = ContractWith("tokens = 1111", "turns = 9");
    const auto second = ContractWith("tokens = 2222", "turns = 9");
    // Longer than the tool waits for an answer.
    cluster.InjectFault(cluster.kv(), "late contracts/change", 1, seconds(4));
    const auto lost = cluster.RunOperatorTool(
        {"--json", "apply", files.Write("first", first)});
    WaitShown(cluster, "late contracts/change");
    const auto other = cluster.RunOperatorTool(
        {"--json", "apply", files.Write("second", second)});
    BOOST_TEST(other->Wait(seconds(30)) == kApplied);
    BOOST_TEST(lost->Wait(seconds(30)) == kApplied);
    const auto lost_report = json::parse(lost->output());
    const auto other_report = json::parse(other->output());
    BOOST_TEST(lost_report["outcome"] == "applied");
    BOOST_TEST(lost_report["revision"].get<std::int64_t>() <
               other_report["revision"].get<std::int64_t>());
    const auto get = cluster.RunOperatorTool({"get", "bandwerk"});
    BOOST_TEST(get->Wait(seconds(20)) == 0);
    BOOST_TEST(get->output() == second);
  });
}

BOOST_AUTO_TEST_CASE(a_frozen_daemon_wakes_with_the_newest) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    RemoveWhileFrozen(fiber, cluster, false);
  });
}

BOOST_AUTO_TEST_CASE(a_frozen_daemon_wakes_with_the_service_out) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    RemoveWhileFrozen(fiber, cluster, true);
  });
}

BOOST_AUTO_TEST_CASE(a_restart_with_the_service_out_asks_the_peers) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    const auto revision = Revision(cluster, 0);
    cluster.InjectFault(cluster.kv(), "out", -1);
    cluster.daemon(2).Kill();
    cluster.StartDaemon(2);
    cluster.WaitFor("the contracts to be had from a peer",
                    [&] { return Revision(cluster, 2) == revision; });
    harness::Caller caller(fiber, cluster.http(), harness::kKioskKey, "kiosk");
    const auto address = cluster.daemon(2).address();
    cluster.WaitFor("an urgent message to go out through it", [&] {
      return caller.CallTool(address, "lock", "kiosk_lock", {}, "urgent")
                 .status == 200;
    });
    BOOST_TEST(cluster.ToolRuns("kiosk_lock").size() == 1U);
    BOOST_TEST(Revision(cluster, 2) == revision);
  });
}

BOOST_AUTO_TEST_CASE(without_contracts_callers_are_refused_as_not_run) {
  harness::ClusterOptions options;
  options.daemons = 1;
  InCluster(options, [](Fiber& fiber, Cluster& cluster) {
    cluster.InjectFault(cluster.kv(), "out", -1);
    // An outage alone does not stop what the contracts are needed for.
    BOOST_TEST(
        Chat(fiber, cluster, 0, {"p", "k", "hello", "unknown-model"}).code !=
        "contracts_not_current");
    cluster.daemon(0).Kill();
    cluster.StartDaemon(0);
    const auto refused = Chat(fiber, cluster, 0, {"p", "k"});
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.code == "contracts_not_current");
    BOOST_TEST(refused.verdict == "not_run");
  });
}

// Applies a change over `daemons` and prints how long it took.
void TimeChange(int daemons, bool watch) {
  harness::ClusterOptions options;
  options.daemons = daemons;
  options.engines = 1;
  options.tool_servers = 1;
  options.settings["contracts"] = watch ? "watch = true\n" : "watch = false\n";
  InCluster(options, [&](Fiber&, Cluster& cluster) {
    constexpr int kChanges = 3;
    ContractFiles files;
    for (int i = 0; i < kChanges; ++i) {
      const auto text =
          ContractWith("tokens = " + std::to_string(5000 + i), "turns = 9");
      const auto tool = cluster.RunOperatorTool(
          {"--json", "apply", files.Write("timed", text)});
      BOOST_TEST(tool->Wait(seconds(30)) == kApplied);
      const auto report = json::parse(tool->output());
      std::int64_t slowest = 0;
      for (const auto& it : report["daemons"]) {
        slowest = std::max(slowest, it["after_ms"].get<std::int64_t>());
      }
      BOOST_TEST(report["daemons"].size() == static_cast<std::size_t>(daemons));
      BOOST_TEST(slowest <= kBound.count());
      BOOST_TEST_MESSAGE("in force on " << daemons << " daemons, "
                                        << (watch ? "watch" : "poll only")
                                        << ": " << slowest << " ms");
    }
  });
}

BOOST_AUTO_TEST_CASE(in_force_everywhere_within_five_seconds) {
  TimeChange(3, true);
  TimeChange(6, true);
  TimeChange(9, true);
}

BOOST_AUTO_TEST_CASE(in_force_within_five_seconds_by_the_poll_alone) {
  TimeChange(3, false);
  TimeChange(9, false);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::process
