#include <memory>

#include <boost/test/unit_test.hpp>

#include "process/in_cluster.h"

namespace comfreyfold::process {
namespace {

using harness::Caller;
using harness::Cluster;
using harness::ClusterOptions;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kBound{3};  // New work may still come this long.
constexpr int kCallers = 4;
constexpr int kTurns = 10;

std::int64_t WallUs() {
  return std::chrono::duration_cast<microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void Drain(Cluster& cluster, harness::Process& server) {
  cluster.http().Send(cluster.fiber(), server.address(), {"POST", "/drain"});
}

// Callers that go on with model turns and lookups until told to stop.
class Load {
 public:
  explicit Load(Cluster& cluster) : cluster_(cluster) {
    for (int i = 0; i < kCallers; ++i) {
      ++shared_->running;
      cluster.fiber().loop().Spawn(
          [&cluster, shared = shared_, i](Fiber& fiber) {
            Call(fiber, cluster, *shared, i);
            --shared->running;
          });
    }
  }

  int answered() const { return shared_->answered; }
  int failed() const { return shared_->failed; }
  const std::string& first_failure() const { return shared_->first_failure; }
  void Stop() {
    shared_->stop = true;
    cluster_.WaitFor("the load to end", [&] { return shared_->running == 0; });
  }

 private:
  struct Shared {
    bool stop = false;
    int running = 0;
    int answered = 0;
    int failed = 0;
    std::string first_failure;
  };

  static void Call(Fiber& fiber, Cluster& cluster, Shared& shared, int index) {
    const auto address = cluster.daemon(index % cluster.daemons()).address();
    for (int n = 0; !shared.stop; ++n) {
      // Short programs: a long history would be most of the work.
      Caller caller(
          fiber, cluster.http(), harness::kQuoteKey,
          "load-" + std::to_string(index) + "-" + std::to_string(n / kTurns));
      const auto key = std::to_string(n);
      auto answer = caller.SendTurn(address, "t" + key, "go on", 2);
      if (answer.status == 200) {
        answer =
            caller.CallTool(address, "u" + key, "stock_lookup", {{"n", n}});
      }
      const bool good = answer.status == 200;
      if (!good && shared.first_failure.empty()) {
        shared.first_failure = answer.body;
      }
      ++(good ? shared.answered : shared.failed);
    }
  }

  Cluster& cluster_;
  std::shared_ptr<Shared> shared_ = std::make_shared<Shared>();
};

std::size_t RunsAfter(const nlohmann::json& audit, std::int64_t time_us) {
  std::size_t out = 0;
  for (const auto& it : audit["runs"]) {
    out += it["time_us"].get<std::int64_t>() > time_us ? 1 : 0;
  }
  return out;
}

ClusterOptions LongTurns() {
  ClusterOptions out;
  out.settings["calls"] = "deadline = 20s\n";
  return out;
}

// A budget that the load does not spend.
std::string LoadContract() {
  auto text = harness::QuoteContract();
  const std::string tokens = "tokens = 1000000\n";
  text.replace(text.find(tokens), tokens.size(), "tokens = 1000000000\n");
  return text;
}

BOOST_AUTO_TEST_SUITE(leaving)

BOOST_AUTO_TEST_CASE(server_that_reports_draining_gets_no_new_work) {
  auto options = LongTurns();
  options.engine_arguments = {"--load-lag-ms", "500"};
  InCluster(options, [](Fiber&, Cluster& cluster) {
    cluster.Apply({LoadContract()});
    Load load(cluster);
    cluster.WaitFor("load", [&] { return load.answered() >= 8; });
    // The VM list goes on calling both live.
    Drain(cluster, cluster.engine(0));
    Drain(cluster, cluster.tool_server(0));
    const auto limit = WallUs() + microseconds(kBound).count();
    cluster.WaitFor("the bound to pass under load",
                    [&] { return WallUs() > limit + 1'000'000; });
    load.Stop();
    BOOST_TEST_MESSAGE(load.answered()
                       << " answered, " << load.failed() << " failed");
    const auto engine = cluster.Audit(cluster.engine(0));
    BOOST_TEST(RunsAfter(engine, limit) == 0);
    for (const auto& it : engine["refused_us"]) {
      BOOST_TEST(it.get<std::int64_t>() <= limit);
    }
    BOOST_TEST(RunsAfter(cluster.Audit(cluster.tool_server(0)), limit) == 0);
    BOOST_TEST(RunsAfter(cluster.Audit(cluster.tool_server(1)), limit) > 0);
  });
}

BOOST_AUTO_TEST_CASE(server_on_the_list_of_leaving_gets_no_new_work) {
  InCluster(LongTurns(), [](Fiber&, Cluster& cluster) {
    cluster.Apply({LoadContract()});
    Load load(cluster);
    cluster.WaitFor("load", [&] { return load.answered() >= 8; });
    cluster.PublishVms({"engine-0", "service-0"});
    const auto limit = WallUs() + microseconds(kBound).count();
    cluster.WaitFor("the bound to pass under load",
                    [&] { return WallUs() > limit + 1'000'000; });
    load.Stop();
    BOOST_TEST(RunsAfter(cluster.Audit(cluster.engine(0)), limit) == 0);
    BOOST_TEST(RunsAfter(cluster.Audit(cluster.tool_server(0)), limit) == 0);
    BOOST_TEST(load.failed() == 0, load.first_failure());
  });
}

BOOST_AUTO_TEST_CASE(server_that_refuses_connections_gets_no_new_work) {
  InCluster(LongTurns(), [](Fiber&, Cluster& cluster) {
    cluster.Apply({LoadContract()});
    Load load(cluster);
    cluster.WaitFor("load", [&] { return load.answered() >= 8; });
    cluster.tool_server(0).Kill();
    cluster.WaitFor("each daemon to see that it is gone", [&] {
      for (int i = 0; i < cluster.daemons(); ++i) {
        if (!cluster.EventSeen(i, "backend_unreachable")) {
          return false;
        }
      }
      return true;
    });
    const int failed = load.failed();
    const int answered = load.answered();
    cluster.WaitFor("more answers",
                    [&] { return load.answered() >= answered + 40; });
    // One call a caller may have been under way.
    BOOST_TEST(load.failed() <= failed + kCallers);
    cluster.RestartToolServer(0);
    cluster.WaitFor("work at the server that is back", [&] {
      return !cluster.Audit(cluster.tool_server(0))["runs"].empty();
    });
    load.Stop();
  });
}

// The server was chosen before it began to leave; its call waited for the
// journal meanwhile.
BOOST_AUTO_TEST_CASE(call_that_waited_for_the_journal_goes_elsewhere) {
  InCluster(PatientDaemons(), [](Fiber&, Cluster& cluster) {
    const auto program = cluster.SettledProgram("bandwerk", "waits");
    const int owner = cluster.OwnerOf("bandwerk", program);
    const auto fault = "late " + cluster.NextBlockKey("bandwerk", program);
    // Longer than the server's leaving takes to be seen.
    cluster.InjectFault(cluster.kv(), fault, 1, seconds(3));
    bool ended = false;
    harness::CallAnswer answer;
    cluster.fiber().loop().Spawn([&](Fiber& child) {
      Caller caller(child, cluster.http(), harness::kQuoteKey, program);
      answer = caller.CallTool(cluster.daemon(owner).address(), "order",
                               "book_order", {{"n", 1}});
      ended = true;
    });
    cluster.WaitFor("the intent to be committed", [&] {
      return cluster.Audit(cluster.kv())["faults_shown"].contains(fault);
    });
    const auto before = cluster.Status(owner);
    for (int i = 0; i < cluster.tool_servers(); ++i) {
      for (const auto& it : before["backends"]) {
        if (it["id"] == "service-" + std::to_string(i) &&
            it["in_flight"] == 1) {
          Drain(cluster, cluster.tool_server(i));
        }
      }
    }
    cluster.WaitFor("the answer", [&] { return ended; });
    BOOST_TEST(answer.status == 200);
    const auto runs = cluster.ToolRuns("book_order");
    BOOST_TEST(runs.size() == 1);
    for (int i = 0; i < cluster.tool_servers(); ++i) {
      const auto audit = cluster.Audit(cluster.tool_server(i));
      BOOST_TEST((audit["runs"].empty() || !audit["draining"].get<bool>()));
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::process
