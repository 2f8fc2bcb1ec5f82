#include <csignal>

#include <boost/test/unit_test.hpp>

#include "process/failure.h"
#include "process/in_cluster.h"

namespace comfreyfold::process {
namespace {

using harness::Cluster;
using harness::ClusterOptions;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kCustomer[] = "bandwerk";

int OwnerOf(Cluster& cluster, const std::string& program) {
  const int owner = cluster.OwnerOf(kCustomer, program);
  BOOST_REQUIRE(owner >= 0);
  return owner;
}

int Other(const Cluster& cluster, int daemon, int step = 1) {
  return (daemon + step) % cluster.daemons();
}

// Lets the answer to the call's intent be late, so that its owner can be
// caught with the intent committed and nothing dispatched.
void HoldIntent(Cluster& cluster,
                const std::string& program,
                milliseconds delay) {
  cluster.InjectFault(cluster.kv(),
                      "late " + cluster.NextBlockKey(kCustomer, program), 1,
                      delay);
}

void WaitForHeldIntent(Cluster& cluster, const std::string& block) {
  cluster.WaitFor("the intent to be committed", [&] {
    const auto audit = cluster.Audit(cluster.kv());
    return audit.is_object() && audit["faults_shown"].contains(block);
  });
}

void WaitForRun(Cluster& cluster, const Booking& booking) {
  cluster.WaitFor("the call to run", [&] { return booking.Runs() == 1; });
}

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_AUTO_TEST_CASE(entry_killed_while_the_call_runs) {
  InCluster({}, [](Fiber&, Cluster& cluster) {
    Booking booking(cluster, cluster.SettledProgram(kCustomer, "entry-killed"),
                    "order");
    const int owner = OwnerOf(cluster, booking.program());
    const int entry = Other(cluster, owner);
    HangTools(cluster, 1, milliseconds(800));
    booking.Start(entry);
    WaitForRun(cluster, booking);
    cluster.daemon(entry).Kill();
    BOOST_TEST(booking.Wait().status == 0);
    BOOST_TEST(booking.Settle(Other(cluster, entry)).status == 200);
    BOOST_TEST(booking.Runs() == 1);
  });
}

BOOST_AUTO_TEST_CASE(owner_killed_after_dispatch_before_the_outcome) {
  InCluster({}, [](Fiber&, Cluster& cluster) {
    Booking booking(cluster, cluster.SettledProgram(kCustomer, "owner-killed"),
                    "order");
    const int owner = OwnerOf(cluster, booking.program());
    HangTools(cluster, -1, milliseconds(400));
    booking.Start(Other(cluster, owner));
    WaitForRun(cluster, booking);
    cluster.daemon(owner).Kill();
    BOOST_TEST(booking.Wait().verdict == "may_have_run");
    BOOST_TEST(booking.Settle(Other(cluster, owner, 2)).verdict ==
               "may_have_run");
    BOOST_TEST(booking.Runs() == 1);
  });
}

BOOST_AUTO_TEST_CASE(owner_killed_between_the_intent_and_dispatch) {
  InCluster(PatientDaemons(), [](Fiber&, Cluster& cluster) {
    Booking booking(cluster,
                    cluster.SettledProgram(kCustomer, "owner-killed-early"),
                    "order");
    const int owner = OwnerOf(cluster, booking.program());
    const auto fault =
        "late " + cluster.NextBlockKey(kCustomer, booking.program());
    HoldIntent(cluster, booking.program(), seconds(20));
    booking.Start(Other(cluster, owner));
    WaitForHeldIntent(cluster, fault);
    cluster.daemon(owner).Kill();
    BOOST_TEST(booking.Wait().verdict == "may_have_run");
    BOOST_TEST(booking.Settle(Other(cluster, owner)).verdict == "may_have_run");
    BOOST_TEST(booking.Runs() == 0);
  });
}

// The retry comes through a daemon that waits for a shorter time than the first
// try runs.
BOOST_AUTO_TEST_CASE(a_retry_while_the_first_try_runs_is_not_told_not_run) {
  InCluster({}, [](Fiber&, Cluster& cluster) {
    constexpr int kImpatient = 2;
    cluster.daemon(kImpatient).Kill();
    cluster.SetSettings("calls", "deadline = 1s\n");
    cluster.StartDaemon(kImpatient);
    cluster.WaitReady();
    cluster.WaitSettled();
    auto program = cluster.SettledProgram(kCustomer, "retried");
    for (int n = 0; OwnerOf(cluster, program) == kImpatient; ++n) {
      program = cluster.SettledProgram(kCustomer, "again-" + std::to_string(n));
    }
    Booking booking(cluster, program, "order");
    HangTools(cluster, 1, milliseconds(2500));
    booking.Start(OwnerOf(cluster, program));
    WaitForRun(cluster, booking);
    BOOST_TEST(booking.Try(kImpatient).verdict == "may_have_run");
    BOOST_TEST(booking.Wait().status == 200);
    BOOST_TEST(booking.Runs() == 1);
  });
}

BOOST_AUTO_TEST_CASE(owner_frozen_while_the_call_runs_wakes_after_takeover) {
  InCluster({}, [](Fiber&, Cluster& cluster) {
    Booking booking(cluster, cluster.SettledProgram(kCustomer, "owner-frozen"),
                    "order");
    const int owner = OwnerOf(cluster, booking.program());
    HangTools(cluster, 1, milliseconds(400));
    booking.Start(Other(cluster, owner));
    WaitForRun(cluster, booking);
    cluster.daemon(owner).Signal(SIGSTOP);
    const auto& answer = booking.Wait();
    BOOST_TEST(answer.verdict == "may_have_run");
    BOOST_TEST(booking.Settle(Other(cluster, owner, 2)).verdict ==
               "may_have_run");
    cluster.daemon(owner).Signal(SIGCONT);
    // The event, not the owner of the moment: lanes move back to a daemon
    // that lives again.
    cluster.WaitFor("the old owner to lose the lane",
                    [&] { return cluster.EventSeen(owner, "lane_lost"); });
    // Whoever owns the lane by then, the old owner included, gets the
    // outcome from it.
    cluster.WaitFor("the outcome to reach the lane's owner",
                    [&] { return booking.Try(owner).status == 200; });
    BOOST_TEST(booking.Settle(Other(cluster, owner)).status == 200);
    BOOST_TEST(booking.Runs() == 1);
  });
}

BOOST_AUTO_TEST_CASE(owner_frozen_before_dispatch_wakes_after_takeover) {
  InCluster(PatientDaemons(), [](Fiber&, Cluster& cluster) {
    Booking booking(cluster,
                    cluster.SettledProgram(kCustomer, "owner-frozen-early"),
                    "order");
    const int owner = OwnerOf(cluster, booking.program());
    const auto fault =
        "late " + cluster.NextBlockKey(kCustomer, booking.program());
    HoldIntent(cluster, booking.program(), milliseconds(1000));
    booking.Start(Other(cluster, owner));
    WaitForHeldIntent(cluster, fault);
    cluster.daemon(owner).Signal(SIGSTOP);
    // Nothing ran yet, but it may: that is what the caller must hear.
    BOOST_TEST(booking.Wait().verdict == "may_have_run");
    cluster.daemon(owner).Signal(SIGCONT);
    cluster.WaitFor("the old owner to lose the lane",
                    [&] { return cluster.EventSeen(owner, "lane_lost"); });
    const auto answer = booking.Settle(owner);
    BOOST_TEST((answer.status == 200 || answer.verdict == "may_have_run"));
    // Dispatched when the old owner woke, it ran, and that is told.
    if (booking.Runs() > 0) {
      cluster.WaitFor("the outcome to reach the lane's owner",
                      [&] { return booking.Try(owner).status == 200; });
    }
    BOOST_TEST(booking.Runs() <= 1);
  });
}

BOOST_AUTO_TEST_CASE(server_killed_while_the_call_runs) {
  InCluster({}, [](Fiber&, Cluster& cluster) {
    Booking booking(cluster, "server-killed", "order");
    HangTools(cluster, -1, seconds(20));
    booking.Start(0);
    WaitForRun(cluster, booking);
    int server = 0;
    while (cluster.Audit(cluster.tool_server(server))["runs"].empty()) {
      ++server;
    }
    cluster.tool_server(server).Kill();
    BOOST_TEST(booking.Wait().verdict == "may_have_run");
    cluster.RestartToolServer(server);
    HangTools(cluster, 0, {});
    BOOST_TEST(booking.Settle(1).verdict == "may_have_run");
    BOOST_TEST(booking.Runs() == 0);  // None beside the one that was killed.
  });
}

BOOST_AUTO_TEST_CASE(connection_cut_before_and_after_the_run) {
  InCluster({}, [](Fiber&, Cluster& cluster) {
    for (const std::string fault : {"out", "lost_answer"}) {
      Booking booking(cluster, "cut-" + fault, "order-" + fault);
      for (int i = 0; i < cluster.tool_servers(); ++i) {
        cluster.InjectFault(cluster.tool_server(i), fault, 1);
      }
      BOOST_TEST(booking.Try(0).verdict == "may_have_run");
      BOOST_TEST(booking.Settle(1).verdict == "may_have_run");
      BOOST_TEST(booking.Runs() == (fault == "out" ? 0 : 1));
      for (int i = 0; i < cluster.tool_servers(); ++i) {
        cluster.InjectFault(cluster.tool_server(i), fault, 0);
      }
    }
  });
}

BOOST_AUTO_TEST_CASE(refused_call_did_not_run_and_runs_once_when_retried) {
  InCluster({}, [](Fiber&, Cluster& cluster) {
    for (int i = 0; i < cluster.tool_servers(); ++i) {
      cluster.InjectFault(cluster.tool_server(i), "refuse", -1);
    }
    Booking booking(cluster, "refused", "order");
    BOOST_TEST(booking.Try(0).verdict == "not_run");
    BOOST_TEST(booking.Runs() == 0);
    for (int i = 0; i < cluster.tool_servers(); ++i) {
      cluster.InjectFault(cluster.tool_server(i), "refuse", 0);
    }
    BOOST_TEST(booking.Settle(1).status == 200);
    BOOST_TEST(booking.Settle(2).status == 200);
    BOOST_TEST(booking.Runs() == 1);
  });
}

BOOST_AUTO_TEST_CASE(answers_of_the_journal_lost_after_the_write) {
  InCluster({}, [](Fiber&, Cluster& cluster) {
    for (int i = 0; i < 4; ++i) {
      cluster.InjectFault(cluster.kv(), "lost_answer", 2);
      Booking booking(cluster, "lost-" + std::to_string(i),
                      "order-" + std::to_string(i));
      BOOST_TEST(booking.Settle(i % cluster.daemons()).status == 200);
      BOOST_TEST(booking.Runs() == 1);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::process
