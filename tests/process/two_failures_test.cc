#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "process/failure.h"
#include "process/in_cluster.h"

namespace comfreyfold::process {
namespace {

using harness::Cluster;
using harness::ClusterOptions;
using std::chrono::milliseconds;

constexpr milliseconds kRunTime{500};

struct Pair {
  const char* first;
  const char* second;
};

std::ostream& operator<<(std::ostream& out, const Pair& pair) {
  return out << pair.first << " and " << pair.second;
}

const Pair kPairs[] = {
    {"owner_killed", "entry_killed"},  {"owner_killed", "journal_answers_lost"},
    {"owner_frozen", "entry_killed"},  {"owner_frozen", "journal_answers_lost"},
    {"server_killed", "owner_killed"}, {"answer_cut", "entry_killed"},
    {"service_out", "owner_frozen"},   {"service_out", "entry_killed"},
};

ClusterOptions ShortDeadline() {
  ClusterOptions out;
  out.settings["calls"] = "deadline = 4s\n";
  return out;
}

BOOST_AUTO_TEST_SUITE(two_failures)

// Two at a time while the call runs: it is settled after they are healed,
// and ran once, whatever the caller was told.
BOOST_DATA_TEST_CASE(call_runs_at_most_once,
                     boost::unit_test::data::make(kPairs),
                     pair) {
  InCluster(ShortDeadline(), [&](Fiber&, Cluster& cluster) {
    const auto& first = FailureNamed(pair.first);
    const auto& second = FailureNamed(pair.second);
    Booking booking(cluster, cluster.SettledProgram("bandwerk", "pair"),
                    "order");
    Scene scene{cluster, booking};
    scene.owner = cluster.OwnerOf("bandwerk", booking.program());
    scene.entry = (scene.owner + 1) % cluster.daemons();
    HangTools(cluster, -1, kRunTime);
    booking.Start(scene.entry);
    cluster.WaitFor("the call to run", [&] { return booking.Runs() == 1; });
    first.strike(scene);
    second.strike(scene);
    const auto told = booking.Wait().verdict;
    first.heal(scene);
    second.heal(scene);
    const auto answer = booking.Settle((scene.entry + 1) % cluster.daemons());
    BOOST_TEST(told != "not_run");
    BOOST_TEST((answer.status == 200 || answer.verdict == "may_have_run"));
    const bool lost = first.loses_runs || second.loses_runs;
    BOOST_TEST(booking.Runs() == (lost ? 0 : 1));
  });
}

// What is refused as not run while the service is out must not run later,
// though the intent may still reach the journal; and the program goes on.
BOOST_AUTO_TEST_CASE(refused_in_an_outage_does_not_run_when_it_ends) {
  InCluster(ShortDeadline(), [](Fiber& fiber, Cluster& cluster) {
    Booking first(cluster, "outage", "order-1");
    BOOST_TEST(first.Settle(0).status == 200);
    cluster.InjectFault(cluster.kv(), "out", -1);
    Booking refused(cluster, "outage", "order-2");
    BOOST_TEST(refused.Try(1).verdict == "not_run");
    cluster.InjectFault(cluster.kv(), "out", 0);
    cluster.WaitFor("the journal to go on", [&] {
      return harness::Caller(fiber, cluster.http(), harness::kQuoteKey,
                             "outage")
                 .GetHistory(cluster.daemon(2).address())
                 .json()["calls"]
                 .size() > 1;
    });
    Booking next(cluster, "outage", "order-3");
    BOOST_TEST(next.Settle(2).status == 200);
    BOOST_TEST(next.Runs() == 1);
    BOOST_TEST(refused.Runs() == 0);
    BOOST_TEST(first.Runs() == 1);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::process
