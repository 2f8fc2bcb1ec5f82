#include <csignal>

#include <boost/test/unit_test.hpp>

#include "process/in_cluster.h"

namespace comfreyfold::process {
namespace {

using harness::Caller;
using harness::Cluster;
using harness::ClusterOptions;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kCustomer[] = "bandwerk";
constexpr std::size_t kContextBytes = 8000;
constexpr std::int64_t kContextTokens = 2000;
constexpr int kShortAnswer = 40;
constexpr int kLongAnswer = 3000;  // Tokens, 6 s of generation and more.

Caller Quote(Fiber& fiber, Cluster& cluster, const std::string& program) {
  return {fiber, cluster.http(), harness::kQuoteKey, program};
}

void WaitForNoMemory(Cluster& cluster) {
  cluster.WaitFor("engine memory to be released",
                  [&] { return cluster.HeldPrograms() == 0; });
}

// The engine that has run a turn of the program; -1: none.
int EngineOf(Cluster& cluster, const std::string& program) {
  for (int i = 0; i < cluster.engines(); ++i) {
    const auto audit = cluster.Audit(cluster.engine(i));
    if (!audit.is_object()) {
      continue;
    }
    for (const auto& it : audit["runs"]) {
      if (it["program"] == std::string(kCustomer) + "/" + program) {
        return i;
      }
    }
  }
  return -1;
}

// Asks in a coroutine of its own, through `daemon`.
std::shared_ptr<bool> AskBeside(Cluster& cluster,
                                const std::string& program,
                                int daemon,
                                int tokens) {
  auto ended = std::make_shared<bool>(false);
  const auto address = cluster.daemon(daemon).address();
  cluster.fiber().loop().Spawn(
      [&cluster, program, address, ended, tokens](Fiber& fiber) {
        try {
          Quote(fiber, cluster, program)
              .SendTurn(address, "turn", "a long tender", tokens);
        } catch (const HttpFailure&) {
          // Its daemon was killed.
        }
        *ended = true;
      });
  return ended;
}

std::string IdleContract(const std::string& limits) {
  auto text = harness::QuoteContract();
  return text + "[program]\n" + limits;
}

BOOST_AUTO_TEST_SUITE(engine_memory)

BOOST_AUTO_TEST_CASE(ended_programs_hold_nothing) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    for (int i = 0; i < 12; ++i) {
      auto caller = Quote(fiber, cluster, "ends-" + std::to_string(i));
      const auto& address = cluster.daemon(i % cluster.daemons()).address();
      BOOST_TEST(caller.SendTurn(address, "t1", "a quote").status == 200);
    }
    BOOST_TEST(cluster.HeldPrograms() == 12);
    for (int i = 0; i < 12; ++i) {
      auto caller = Quote(fiber, cluster, "ends-" + std::to_string(i));
      BOOST_TEST(caller.EndProgram(cluster.daemon(0).address()).status == 200);
    }
    WaitForNoMemory(cluster);
    BOOST_TEST(cluster.HeldPrograms() == 0);
  });
}

BOOST_AUTO_TEST_CASE(programs_that_die_between_turns_are_ended) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    cluster.Apply({IdleContract("idle = 1s\n")});
    auto caller = Quote(fiber, cluster, "dies");
    BOOST_TEST(
        caller.SendTurn(cluster.daemon(0).address(), "t1", "a quote").status ==
        200);
    BOOST_TEST(cluster.HeldPrograms() == 1);
    WaitForNoMemory(cluster);
    const auto late =
        caller.SendTurn(cluster.daemon(1).address(), "t2", "more");
    BOOST_TEST(late.status == 410);
    BOOST_TEST(late.verdict == "not_run");
    BOOST_TEST(cluster.HeldPrograms() == 0);
  });
}

BOOST_AUTO_TEST_CASE(programs_that_loop_are_ended) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    cluster.Apply({IdleContract("turns = 5\n")});
    auto caller = Quote(fiber, cluster, "loops");
    harness::CallAnswer last;
    for (int i = 0; i < 8; ++i) {
      last = caller.SendTurn(cluster.daemon(0).address(),
                             "t" + std::to_string(i), "again");
    }
    BOOST_TEST(last.status != 200);
    BOOST_TEST(last.verdict == "not_run");
    WaitForNoMemory(cluster);
  });
}

// The engine has room for one of the two contexts.
BOOST_AUTO_TEST_CASE(context_evicted_in_a_pause_comes_back_from_its_copy) {
  ClusterOptions options;
  options.engines = 1;
  options.engine_arguments = {"--memory-tokens", "3000"};
  InCluster(options, [](Fiber& fiber, Cluster& cluster) {
    const auto program = cluster.SettledProgram(kCustomer, "pauses");
    const int owner = cluster.OwnerOf(kCustomer, program);
    const auto& address = cluster.daemon(owner).address();
    auto caller = Quote(fiber, cluster, program);
    BOOST_TEST(
        caller.SendTurn(address, "t", std::string(kContextBytes, 'a')).status ==
        200);
    int n = 0;
    cluster.WaitFor("the context to be copied out", [&] {
      const auto key = std::to_string(++n);
      caller.CallTool(address, "u" + key, "stock_lookup", {{}});
      const bool copied = cluster.EventSeen(owner, "hold_exported");
      if (!copied) {
        caller.SendTurn(address, "t" + key, "more");
      }
      return copied;
    });
    Quote(fiber, cluster, "takes-its-room")
        .SendTurn(address, "t", std::string(kContextBytes, 'b'));
    BOOST_TEST(cluster.HeldPrograms() == 1);
    BOOST_TEST(caller.SendTurn(address, "last", "and now").status == 200);
    const auto audit = cluster.Audit(cluster.engine(0));
    const auto last = audit["runs"].back();
    BOOST_TEST(last["program"] == std::string(kCustomer) + "/" + program);
    BOOST_TEST(last["cached_tokens"].get<std::int64_t>() >= kContextTokens);
  });
}

BOOST_AUTO_TEST_CASE(owner_killed_while_the_hold_is_made) {
  ClusterOptions options;
  // The engine looks whether a run is cancelled after each token. Nearly an
  // hour for the whole answer: only a cancel ends it in this test.
  options.engine_arguments = {"--decode-us", "1000000"};
  InCluster(options, [](Fiber& fiber, Cluster& cluster) {
    const auto program = cluster.SettledProgram(kCustomer, "owner-dies");
    const int owner = cluster.OwnerOf(kCustomer, program);
    const int other = (owner + 1) % cluster.daemons();
    const auto ended = AskBeside(cluster, program, owner, kLongAnswer);
    cluster.WaitFor("the turn to run",
                    [&] { return EngineOf(cluster, program) >= 0; });
    cluster.daemon(owner).Kill();
    cluster.WaitFor("the caller to be cut off", [&] { return *ended; });
    BOOST_TEST(Quote(fiber, cluster, program)
                   .EndProgram(cluster.daemon(other).address())
                   .status == 200);
    WaitForNoMemory(cluster);
    const auto engine = EngineOf(cluster, program);
    // Nobody needs the rest of the answer: the engine was told so.
    cluster.WaitFor("the run to be cancelled", [&] {
      const auto audit = cluster.Audit(cluster.engine(engine));
      return audit["runs"][0]["cancelled"].get<bool>();
    });
    BOOST_TEST(cluster.Audit(cluster.engine(engine))["runs"].size() == 1);
  });
}

BOOST_AUTO_TEST_CASE(owner_frozen_before_dispatch_holds_nothing_when_it_wakes) {
  InCluster(PatientDaemons(), [](Fiber& fiber, Cluster& cluster) {
    const auto program = cluster.SettledProgram(kCustomer, "owner-freezes");
    const int owner = cluster.OwnerOf(kCustomer, program);
    const int other = (owner + 1) % cluster.daemons();
    const auto fault = "late " + cluster.NextBlockKey(kCustomer, program);
    cluster.InjectFault(cluster.kv(), fault, 1, milliseconds(1000));
    AskBeside(cluster, program, owner, kShortAnswer);
    cluster.WaitFor("the intent to be committed", [&] {
      return cluster.Audit(cluster.kv())["faults_shown"].contains(fault);
    });
    cluster.daemon(owner).Signal(SIGSTOP);
    auto caller = Quote(fiber, cluster, program);
    cluster.WaitFor("the program to be ended", [&] {
      return caller.EndProgram(cluster.daemon(other).address()).status == 200;
    });
    // Released everywhere before the frozen owner wakes and dispatches.
    cluster.WaitFor("the hold to be released", [&] {
      return cluster.EventSeen(other, "hold_released") ||
             cluster.EventSeen((owner + 2) % cluster.daemons(),
                               "hold_released");
    });
    cluster.daemon(owner).Signal(SIGCONT);
    cluster.WaitFor("the late dispatch",
                    [&] { return EngineOf(cluster, program) >= 0; });
    WaitForNoMemory(cluster);
    BOOST_TEST(cluster.EventSeen(owner, "hold_after_lane_lost"));
  });
}

BOOST_AUTO_TEST_CASE(
    engine_unreachable_at_the_end_is_released_when_it_is_back) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    auto caller = Quote(fiber, cluster, "unreachable");
    const auto address = cluster.daemon(0).address();
    BOOST_TEST(caller.SendTurn(address, "t1", "a quote").status == 200);
    const int engine = EngineOf(cluster, "unreachable");
    cluster.InjectFault(cluster.engine(engine), "out", -1);
    BOOST_TEST(caller.EndProgram(address).status == 200);
    // Others are released meanwhile: a silent engine holds nobody up.
    for (int i = 0; i < 4; ++i) {
      auto it = Quote(fiber, cluster, "beside-" + std::to_string(i));
      it.SendTurn(address, "t1", "a quote");
      it.EndProgram(address);
    }
    const auto held = [&](int index) {
      return cluster.Audit(cluster.engine(index))["held"].size();
    };
    cluster.WaitFor("the other engine to be free",
                    [&] { return held(1 - engine) == 0; });
    BOOST_TEST(held(engine) >= 1);
    cluster.InjectFault(cluster.engine(engine), "out", 0);
    WaitForNoMemory(cluster);
  });
}

BOOST_AUTO_TEST_CASE(engine_started_again_under_its_id_holds_nothing) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    auto caller = Quote(fiber, cluster, "restarted");
    const auto address = cluster.daemon(0).address();
    BOOST_TEST(caller.SendTurn(address, "t1", "a quote").status == 200);
    const int engine = EngineOf(cluster, "restarted");
    cluster.RestartEngine(engine);
    cluster.WaitFor("the next turn", [&] {
      return caller.SendTurn(address, "t2", "more").status == 200;
    });
    BOOST_TEST(cluster.HeldPrograms() >= 1);
    BOOST_TEST(caller.EndProgram(address).status == 200);
    WaitForNoMemory(cluster);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::process
