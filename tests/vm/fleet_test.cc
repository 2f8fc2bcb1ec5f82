// Fleet state of the daemons: configuration and servers, also during an outage
// of the store.

#include <chrono>
#include <fstream>
#include <set>
#include <string>

#include <boost/test/unit_test.hpp>

#include "storage/disk_log.h"
#include "vm/vm_deployment.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

// Starts a deployment and returns a VM that serves requests through the server
// "s1".
VmDeployment::Vm& StartServing(Fiber& fiber, VmDeployment& deployment) {
  deployment.StartAll(fiber);
  deployment.AddServer("s1");
  auto& front = deployment.vm("front-1");
  BOOST_REQUIRE(deployment.WaitFor(fiber, [&] {
    return deployment.Send(fiber, front, {"/plain/x", "r", "", {}}).status ==
           200;
  }));
  return front;
}

// Returns the calls of the store in three seconds, two seconds after the start.
// Counts anew when the process stood still meanwhile: daemons that hear nothing
// for long read the store themselves, as they should.
std::int64_t CountIdleCalls(Fiber& fiber, VmDeployment& deployment) {
  constexpr milliseconds kSettleTime{2000};
  constexpr milliseconds kCountTime{3000};
  constexpr milliseconds kLook{10};
  constexpr milliseconds kStandstill{100};
  constexpr milliseconds kTimeout{60000};
  using Clock = std::chrono::steady_clock;
  const auto deadline = Clock::now() + kTimeout;
  auto last = Clock::now();
  auto started = last;
  std::int64_t before = -1;  // Calls when the count began.
  while (last - started < kSettleTime + kCountTime) {
    BOOST_REQUIRE((last < deadline));
    if (before < 0 && last - started >= kSettleTime) {
      before = deployment.store().calls();
      started = last - kSettleTime;
    }
    fiber.Sleep(kLook);
    const auto now = Clock::now();
    if (now - last > kStandstill) {
      started = now;
      before = -1;
    }
    last = now;
  }
  return deployment.store().calls() - before;
}

BOOST_AUTO_TEST_SUITE(fleet)

BOOST_AUTO_TEST_CASE(daemon_is_not_ready_without_configuration) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    auto& front = deployment.AddVm("front-1", false);
    fiber.Sleep(milliseconds(400));
    BOOST_TEST(!deployment.IsReady(fiber, front));
    BOOST_TEST(
        deployment.Send(fiber, front, {"/plain/x", "r", "", {}}).status == 503);
    deployment.WriteConfig(1);
    BOOST_TEST(deployment.WaitFor(
        fiber, [&] { return deployment.IsReady(fiber, front); }));
  });
}

BOOST_AUTO_TEST_CASE(configuration_applies_in_time_and_never_reverts) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    const auto& front = StartServing(fiber, deployment);
    deployment.store().Put("op/config",
                           R"({"version":5,"routes":[],"services":[]})");
    fiber.Sleep(front.settings.config_apply_time);
    BOOST_TEST(
        deployment.Send(fiber, front, {"/plain/x", "r", "", {}}).status == 404);
    // An older version, as a lagging reader would return it, must not replace
    // the current one.
    deployment.WriteConfig(4);
    fiber.Sleep(front.settings.config_apply_time);
    BOOST_TEST(
        deployment.Send(fiber, front, {"/plain/x", "r", "", {}}).status == 404);
  });
}

BOOST_AUTO_TEST_CASE(invalid_configuration_is_ignored) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    const auto& front = StartServing(fiber, deployment);
    deployment.store().Put("op/config",
                           R"({"version":9,"routes":[{"name":1}]})");
    fiber.Sleep(front.settings.config_apply_time);
    BOOST_TEST(
        deployment.Send(fiber, front, {"/plain/x", "r", "", {}}).status == 200);
  });
}

// One odd registration ended the daemons that read it, or kept them from
// reading the others.
BOOST_AUTO_TEST_CASE(registrations_of_other_writers_do_not_stop_readers) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    const auto& front = StartServing(fiber, deployment);
    constexpr int kDepth = 20000;
    const auto nested = std::string(kDepth, '[') + std::string(kDepth, ']');
    const std::string fields =
        R"("service":"app","zone":"north","state":"ready")";
    int number = 0;
    for (const auto& it :
         {R"({"service":)" + nested + "}", nested,
          "{" + fields + R"(,"address":"127.0.0.1:70000","slots":8})",
          "{" + fields + R"(,"address":"x:1","slots":8})",
          "{" + fields + R"(,"address":"127.0.0.1:1","slots":1e400})",
          "{" + fields + R"(,"address":"127.0.0.1:1","slots":1e300})",
          std::string("\xff\xfe"), std::string()}) {
      deployment.store().Put("servers/0-odd-" + std::to_string(number++), it);
    }
    // Longer than two reads of the registrations.
    fiber.Sleep(milliseconds(2500));
    deployment.AddServer("s2");
    deployment.RegisterServer("s1", "draining");
    BOOST_TEST(deployment.WaitFor(fiber, [&] {
      deployment.Send(fiber, front, {"/plain/x", "r", "", {}});
      return !deployment.server("s2").service->runs().empty();
    }));
    for (int n = 0; n < 20; ++n) {
      BOOST_TEST(
          deployment.Send(fiber, front, {"/plain/x", "r", "", {}}).status ==
          200);
    }
  });
}

// The daemon that had just read the request took over the empty set of a peer
// that knew less, and did not read again.
BOOST_AUTO_TEST_CASE(retirement_is_not_forgotten_for_what_a_peer_knew_before) {
  for (const auto* name : {"disk-1", "disk-2", "disk-3"}) {
    RunWithDeployment([name](Fiber& fiber, VmDeployment& deployment) {
      deployment.StartAll(fiber);
      // The disk that reads for the others is the first of the list.
      deployment.StopVm(fiber, deployment.vm("disk-1"));
      deployment.RestartVm(deployment.vm("disk-1"));
      fiber.Sleep(milliseconds(1500));
      deployment.store().Put(std::string("op/retire/") + name,
                             R"({"duration_s":10})");
      BOOST_TEST(deployment.WaitFor(fiber, [&] {
        return !deployment.store()
                    .Value(std::string("status/retire/") + name)
                    .empty();
      }));
    });
  }
}

BOOST_AUTO_TEST_CASE(servers_stay_in_use_during_store_outage) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    const auto& front = StartServing(fiber, deployment);
    deployment.store().faults().Set("out", -1);
    deployment.store().Delete("servers/s1");
    fiber.Sleep(milliseconds(3000));
    BOOST_TEST(
        deployment.Send(fiber, front, {"/plain/x", "r", "", {}}).status == 200);
    deployment.store().faults().Set("out", 0);
    fiber.Sleep(milliseconds(1000));
    deployment.RegisterServer("s1");
    fiber.Sleep(milliseconds(3000));
    BOOST_TEST(
        deployment.Send(fiber, front, {"/plain/x", "r", "", {}}).status == 200);
  });
}

// One storage daemon reads the store for all daemons, so the number of calls is
// bounded while nothing changes.
BOOST_AUTO_TEST_CASE(idle_fleet_reads_store_from_one_daemon) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    deployment.StartAll(fiber, 3);
    // One read and one watch per second, and a few watches of the storage list.
    BOOST_TEST(CountIdleCalls(fiber, deployment) <= 3 * 2 + 4);
  });
}

// After all daemons have lost power, they serve by what the disks keep until
// the store answers, and then by what the store says.
BOOST_AUTO_TEST_CASE(restarted_fleet_serves_while_store_is_out) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    auto& front = StartServing(fiber, deployment);
    // Two reads of the registrations, after which the disks keep them.
    fiber.Sleep(milliseconds(2500));
    deployment.store().faults().Set("out", -1);
    for (const auto* name : {"front-1", "disk-1", "disk-2", "disk-3"}) {
      deployment.StopVm(fiber, deployment.vm(name));
    }
    // One disk may be lost with all that it keeps.
    for (const auto* name : {"disk-2", "disk-3", "front-1"}) {
      deployment.RestartVm(deployment.vm(name));
    }
    BOOST_TEST(deployment.WaitFor(
        fiber, [&] { return deployment.IsReady(fiber, front); }));
    BOOST_TEST(deployment.store().faults().triggered().count("out") > 0);
    BOOST_TEST(
        deployment.Send(fiber, front, {"/plain/x", "r", "", {}}).status == 200);
    deployment.store().faults().Set("out", 0);
    deployment.store().Put("op/config",
                           R"({"version":5,"routes":[],"services":[]})");
    BOOST_TEST(deployment.WaitFor(fiber, [&] {
      return deployment.Send(fiber, front, {"/plain/x", "r", "", {}}).status ==
             404;
    }));
  });
}

// A damaged file counts like an empty one, and two disks of three are enough to
// know of the newest version only if both have something.
BOOST_AUTO_TEST_CASE(damaged_state_is_not_served) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    auto& front = StartServing(fiber, deployment);
    fiber.Sleep(milliseconds(2500));
    deployment.store().faults().Set("out", -1);
    for (const auto* name : {"front-1", "disk-1", "disk-2", "disk-3"}) {
      deployment.StopVm(fiber, deployment.vm(name));
    }
    const auto path = deployment.vm("disk-2").settings.data_folder + "/fleet";
    auto text = ReadWholeFile(path);
    BOOST_REQUIRE(!text.empty());
    text.back() = static_cast<char>(text.back() + 1);
    std::ofstream(path, std::ios::binary) << text;
    for (const auto* name : {"disk-2", "disk-3", "front-1"}) {
      deployment.RestartVm(deployment.vm(name));
    }
    fiber.Sleep(milliseconds(1500));
    BOOST_TEST(!deployment.IsReady(fiber, front));
    deployment.store().faults().Set("out", 0);
    deployment.WriteConfig(6);
    BOOST_TEST(deployment.WaitFor(
        fiber, [&] { return deployment.IsReady(fiber, front); }));
  });
}

BOOST_AUTO_TEST_CASE(planned_stop_serves_requests_until_balancer_notices) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    deployment.StartAll(fiber);
    deployment.AddServer("s1", milliseconds(1500));
    auto& front = deployment.vm("front-1");
    BOOST_REQUIRE(deployment.WaitFor(fiber, [&] {
      return deployment.Send(fiber, front, {"/plain/x", "r", "", {}}).status ==
             200;
    }));
    bool stopped = false;
    front.daemon->Stop([&stopped] { stopped = true; });
    BOOST_TEST(!deployment.IsReady(fiber, front));
    // Requests that arrive before the load balancer has removed the daemon are
    // still served.
    const auto reply =
        deployment.Send(fiber, front, {"/plain/x", "r2", "", {}});
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(reply.Header("Connection") == "close");
    BOOST_TEST(deployment.WaitFor(fiber, [&] { return stopped; }));
  });
}

// Storage daemons are no relays: a daemon that is cut off reaches none of them.
BOOST_AUTO_TEST_CASE(daemon_alone_in_its_data_centre_knows_relays_in_others) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    deployment.StartAll(fiber, 2);
    deployment.AddVm("disk-4", true, false, "south");
    deployment.AddVm("front-3", false, false, "south");
    BOOST_REQUIRE(deployment.WaitFor(
        fiber, [&] { return deployment.StorageMemberCount() == 4U; }));
    const auto address_of = [&](const std::string& name) {
      return deployment.vm(name).settings.internal_address;
    };
    const auto known_to_front = [&] {
      FleetQuestion question;
      question.address = address_of("front-3");
      const auto reply =
          deployment.http().Send(fiber, address_of("disk-4"),
                                 {"POST", kFleetPath, {}, Encode(question)});
      const auto known = DecodeFleetNews(reply.body).daemons;
      return std::set<std::string>(known.begin(), known.end());
    };
    const std::set<std::string> others{address_of("front-1"),
                                       address_of("front-2")};
    BOOST_TEST(
        deployment.WaitFor(fiber, [&] { return known_to_front() == others; }));
  });
}

// Every call to the store is wasted during an outage. Daemons that serve
// clients therefore leave the calls to the storage daemons at first and start
// to call the store one after the other.
BOOST_AUTO_TEST_CASE(few_daemons_call_store_during_outage) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    constexpr int kFrontDaemons = 10;
    constexpr int kStorageDaemons = 3;
    deployment.StartAll(fiber, kFrontDaemons);
    fiber.Sleep(milliseconds(1500));
    deployment.store().faults().Set("out", -1);
    const auto before = deployment.store().calls();
    constexpr std::chrono::seconds kOutage{3};
    fiber.Sleep(kOutage);
    // Each daemon has two calls in progress and repeats each after at most
    // 0.7 s. At most a third of the daemons that serve clients has started to
    // call the store.
    const auto max_calls =
        (kStorageDaemons + kFrontDaemons / 3) * 2 * kOutage.count() * 2;
    BOOST_TEST(deployment.store().calls() - before <= max_calls);
    deployment.store().faults().Set("out", 0);
    deployment.WriteConfig(2);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
