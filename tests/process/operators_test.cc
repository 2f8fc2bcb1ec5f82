// What operators see: the time line over all processes, metrics, and no
// secret or message text in any log.

#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "process/in_cluster.h"

namespace comfreyfold::process {
namespace {

using harness::Caller;
using harness::Cluster;
using harness::ClusterOptions;
using nlohmann::json;

constexpr char kMarker[] = "MARKER-7f3a";
constexpr std::chrono::seconds kToolTime{20};

std::string ReadLog(const Cluster& cluster, int index) {
  std::ifstream in(cluster.folder() + "/d" + std::to_string(index) + ".log");
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

std::string ReadErrors(const Cluster& cluster, int index) {
  std::ifstream in(cluster.folder() + "/d" + std::to_string(index) + ".err");
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

struct ToolOutput {
  int code = -1;
  std::vector<json> lines;

  bool Has(const char* key, const std::string& value) const {
    for (const auto& it : lines) {
      if (it.value(key, "") == value) {
        return true;
      }
    }
    return false;
  }
};

ToolOutput RunJson(Cluster& cluster, std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), "--json");
  const auto tool = cluster.RunOperatorTool(arguments);
  ToolOutput out;
  out.code = tool->Wait(kToolTime);
  std::istringstream in(tool->output());
  for (std::string line; std::getline(in, line);) {
    out.lines.push_back(json::parse(line));
  }
  return out;
}

// The value of a metric whose line starts with `name`; -1: absent.
double MetricOf(Fiber& fiber, Cluster& cluster, const std::string& name) {
  const auto reply = cluster.http().Send(fiber, cluster.daemon(0).address(),
                                         {"GET", "/metrics"});
  std::istringstream in(reply.body);
  for (std::string line; std::getline(in, line);) {
    if (line.rfind(name + " ", 0) == 0) {
      return std::stod(line.substr(name.size() + 1));
    }
  }
  return -1;
}

BOOST_AUTO_TEST_SUITE(operators)

BOOST_AUTO_TEST_CASE(no_secret_and_no_text_in_any_log) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    Caller good(fiber, cluster.http(), harness::kQuoteKey, "marked");
    Caller stranger(fiber, cluster.http(), kMarker, "marked");
    for (int i = 0; i < cluster.daemons(); ++i) {
      const auto address = cluster.daemon(i).address();
      const auto key = std::to_string(i);
      BOOST_TEST(good.SendTurn(address, "ask-" + key, kMarker).status == 200);
      BOOST_TEST(good.CallTool(address, "use-" + key, "stock_lookup",
                               {{kMarker, kMarker}})
                     .status == 200);
      BOOST_TEST(good.CallTool(address, "ask-" + key, "stock_lookup",
                               {{"other", kMarker}})
                     .status == 422);
      BOOST_TEST(stranger.SendTurn(address, "bad-" + key, kMarker).status ==
                 401);
    }
    BOOST_TEST(good.EndProgram(cluster.daemon(0).address()).status == 200);
    for (int i = 0; i < cluster.daemons(); ++i) {
      const auto log = ReadLog(cluster, i) + ReadErrors(cluster, i);
      BOOST_TEST(log.find("marked") != std::string::npos);
      BOOST_TEST(log.find(kMarker) == std::string::npos);
      BOOST_TEST(log.find(harness::kQuoteKey) == std::string::npos);
    }
  });
}

BOOST_AUTO_TEST_CASE(one_story_over_all_processes) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    Caller caller(fiber, cluster.http(), harness::kQuoteKey, "story");
    const int owner = cluster.OwnerOf("bandwerk", "story");
    BOOST_REQUIRE(owner >= 0);
    const int entry = (owner + 1) % cluster.daemons();
    BOOST_TEST(
        caller.SendTurn(cluster.daemon(entry).address(), "ask", "hi").status ==
        200);

    const auto by_program = RunJson(cluster, {"timeline", "story"});
    BOOST_TEST(by_program.code == 0);
    std::vector<std::string> names;
    for (const auto& it : by_program.lines) {
      names.push_back(it.value("event", ""));
    }
    const std::vector<std::string> steps{
        "call_received", "call_forwarded", "call_queued",  "call_begun",
        "first_piece",   "call_done",      "call_answered"};
    auto next = steps.begin();
    for (const auto& it : names) {
      if (next != steps.end() && it == *next) {
        ++next;
      }
    }
    BOOST_TEST((next == steps.end()));

    const auto lane = std::to_string(by_program.lines[1].value("lane", -1));
    const auto by_lane = RunJson(cluster, {"--lane", lane, "timeline"});
    BOOST_TEST(by_lane.Has("event", "lane_taken"));
    BOOST_TEST(by_lane.Has("event", "call_done"));
    const auto by_customer =
        RunJson(cluster, {"--customer", "bandwerk", "timeline"});
    BOOST_TEST(by_customer.Has("program", "story"));
    const auto of_other =
        RunJson(cluster, {"--customer", "lakeshore", "timeline"});
    BOOST_TEST(!of_other.Has("program", "story"));
  });
}

BOOST_AUTO_TEST_CASE(a_dead_daemons_part_is_told_and_its_file_fills_it) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    Caller caller(fiber, cluster.http(), harness::kQuoteKey, "story");
    const int owner = cluster.OwnerOf("bandwerk", "story");
    BOOST_REQUIRE(owner >= 0);
    const int entry = (owner + 1) % cluster.daemons();
    BOOST_TEST(
        caller.SendTurn(cluster.daemon(entry).address(), "ask", "hi").status ==
        200);
    cluster.daemon(owner).Kill();
    const auto without = RunJson(cluster, {"timeline", "story"});
    BOOST_TEST(without.code == 1);
    BOOST_TEST(!without.Has("event", "call_done"));
    const auto d = "d" + std::to_string(owner);
    const auto with = RunJson(
        cluster, {"timeline", "story", cluster.folder() + "/" + d + ".log"});
    BOOST_TEST(with.Has("event", "call_done"));
    BOOST_TEST(with.Has("event", "call_received"));
  });
}

BOOST_AUTO_TEST_CASE(metrics_count_what_happened) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    const auto address = cluster.daemon(0).address();
    std::string program = "counted";
    while (cluster.OwnerOf("bandwerk", program) != 0) {
      program += "-";
    }
    Caller caller(fiber, cluster.http(), harness::kQuoteKey, program);
    BOOST_TEST(caller.SendTurn(address, "a", "hi").status == 200);
    BOOST_TEST(caller.CallTool(address, "b", "stock_lookup", 1).status == 200);
    BOOST_TEST(caller.CallTool(address, "c", "unknown", 1).status == 404);
    const auto metric = [&](const std::string& name) {
      return MetricOf(fiber, cluster, name);
    };
    BOOST_TEST(
        metric(R"(comfreyfold_calls_total{code="ok",operation="model"})") == 1);
    BOOST_TEST(
        metric(R"(comfreyfold_calls_total{code="ok",operation="tool"})") == 1);
    BOOST_TEST(
        metric(
            R"(comfreyfold_refusals_total{code="no_service",verdict="not_run"})") ==
        1);
    BOOST_TEST(metric("comfreyfold_first_token_seconds_count") == 1);
    // Two calls, each an intent and an outcome.
    BOOST_TEST(metric("comfreyfold_commit_entries_sum") >= 4);
    BOOST_TEST(metric("comfreyfold_ready") == 1);
    BOOST_TEST(metric(R"(comfreyfold_in_flight{role="entry"})") == 0);
    BOOST_TEST(metric(R"(comfreyfold_sent_bytes_total{traffic="control"})") >
               0);
    BOOST_TEST(
        metric(
            R"(comfreyfold_key_value_calls_total{kind="/v3/kv/txn",result="answered"})") >
        0);
    BOOST_TEST(metric(R"(comfreyfold_events_total{event="lane_taken"})") > 0);
  });
}

// Each daemon probes two others a round, as in a fleet of hundreds.
BOOST_AUTO_TEST_CASE(a_sampled_fleet_takes_over_and_hears_of_a_return) {
  ClusterOptions options;
  options.daemons = 6;
  options.settings["members"] = "every_peer_up_to = 0\nprobes = 2\n";
  InCluster(options, [](Fiber& fiber, Cluster& cluster) {
    constexpr std::chrono::seconds kTakeoverTime{5};
    Caller caller(fiber, cluster.http(), harness::kQuoteKey, "sampled");
    const int owner = cluster.OwnerOf("bandwerk", "sampled");
    BOOST_REQUIRE(owner >= 0);
    const auto entry =
        cluster.daemon((owner + 1) % cluster.daemons()).address();
    BOOST_TEST(caller.CallTool(entry, "a", "stock_lookup", 1).status == 200);
    cluster.daemon(owner).Kill();
    cluster.WaitFor(
        "another owner",
        [&] {
          const int now = cluster.OwnerOf("bandwerk", "sampled");
          return now >= 0 && now != owner;
        },
        kTakeoverTime);
    BOOST_TEST(caller.CallTool(entry, "b", "stock_lookup", 1).status == 200);
    cluster.StartDaemon(owner);
    const auto name = "d" + std::to_string(owner);
    cluster.WaitFor("everyone to hear of the return", [&] {
      int heard = 0;
      for (int i = 0; i < cluster.daemons(); ++i) {
        const auto status = cluster.Status(i);
        for (const auto& it : status["peers"]) {
          heard += it["daemon"] == name && it["live"] == true ? 1 : 0;
        }
      }
      return heard == cluster.daemons() - 1;
    });
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::process
