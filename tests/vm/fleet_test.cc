// What daemons know of the deployment while the store is out or silent.

#include <boost/test/unit_test.hpp>

#include "vm/vm_world.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

// A daemon for clients that serves requests at the server "s1".
VmWorld::Vm& Serving(Fiber& fiber, VmWorld& world) {
  world.StartAll(fiber);
  world.AddServer("s1");
  auto& front = world.vm("front-1");
  BOOST_REQUIRE(world.WaitFor(fiber, [&] {
    return world.Send(fiber, front, {"/plain/x", "r", "", {}}).status == 200;
  }));
  return front;
}

BOOST_AUTO_TEST_SUITE(fleet)

BOOST_AUTO_TEST_CASE(a_daemon_is_not_ready_without_a_configuration) {
  InVmWorld([](Fiber& fiber, VmWorld& world) {
    auto& front = world.AddVm("front-1", false);
    fiber.Sleep(milliseconds(400));
    BOOST_TEST(!world.Ready(fiber, front));
    BOOST_TEST(world.Send(fiber, front, {"/plain/x", "r", "", {}}).status ==
               503);
    world.WriteConfig(1);
    BOOST_TEST(world.WaitFor(fiber, [&] { return world.Ready(fiber, front); }));
  });
}

BOOST_AUTO_TEST_CASE(a_change_is_in_force_in_time_and_never_reverts) {
  InVmWorld([](Fiber& fiber, VmWorld& world) {
    const auto& front = Serving(fiber, world);
    world.store().Put("op/config",
                      R"({"version":5,"routes":[],"services":[]})");
    fiber.Sleep(front.settings.config_apply_time);
    BOOST_TEST(world.Send(fiber, front, {"/plain/x", "r", "", {}}).status ==
               404);
    // A reader that lags behind must not bring the old one back.
    world.WriteConfig(4);
    fiber.Sleep(front.settings.config_apply_time);
    BOOST_TEST(world.Send(fiber, front, {"/plain/x", "r", "", {}}).status ==
               404);
  });
}

BOOST_AUTO_TEST_CASE(a_configuration_nobody_can_read_changes_nothing) {
  InVmWorld([](Fiber& fiber, VmWorld& world) {
    const auto& front = Serving(fiber, world);
    world.store().Put("op/config", R"({"version":9,"routes":[{"name":1}]})");
    fiber.Sleep(front.settings.config_apply_time);
    BOOST_TEST(world.Send(fiber, front, {"/plain/x", "r", "", {}}).status ==
               200);
  });
}

BOOST_AUTO_TEST_CASE(servers_stay_in_use_while_the_store_is_out) {
  InVmWorld([](Fiber& fiber, VmWorld& world) {
    const auto& front = Serving(fiber, world);
    world.store().faults().Set("out", -1);
    world.store().Delete("servers/s1");
    fiber.Sleep(milliseconds(3000));
    BOOST_TEST(world.Send(fiber, front, {"/plain/x", "r", "", {}}).status ==
               200);
    world.store().faults().Set("out", 0);
    fiber.Sleep(milliseconds(1000));
    world.Register("s1");
    fiber.Sleep(milliseconds(3000));
    BOOST_TEST(world.Send(fiber, front, {"/plain/x", "r", "", {}}).status ==
               200);
  });
}

// One storage daemon reads the store for all: bounded calls at rest.
BOOST_AUTO_TEST_CASE(at_rest_one_daemon_reads_the_store) {
  InVmWorld([](Fiber& fiber, VmWorld& world) {
    world.StartAll(fiber, 3);
    fiber.Sleep(milliseconds(2000));
    const auto before = world.store().calls();
    fiber.Sleep(milliseconds(3000));
    // A reading and a watch a second, and the odd watch of the list.
    BOOST_TEST(world.store().calls() - before <= 3 * 2 + 4);
  });
}

BOOST_AUTO_TEST_CASE(a_planned_stop_leaves_the_balancer_and_finishes) {
  InVmWorld([](Fiber& fiber, VmWorld& world) {
    world.StartAll(fiber);
    world.AddServer("s1", milliseconds(1500));
    auto& front = world.vm("front-1");
    BOOST_REQUIRE(world.WaitFor(fiber, [&] {
      return world.Send(fiber, front, {"/plain/x", "r", "", {}}).status == 200;
    }));
    bool stopped = false;
    front.daemon->Stop([&stopped] { stopped = true; });
    BOOST_TEST(!world.Ready(fiber, front));
    // Clients that come before the balancer notices are still served.
    const auto reply = world.Send(fiber, front, {"/plain/x", "r2", "", {}});
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(reply.Header("Connection") == "close");
    BOOST_TEST(world.WaitFor(fiber, [&] { return stopped; }));
  });
}

// Each call to a service that is out is paid for in vain: those that serve
// clients leave it to the storage daemons at first, then step in one by one.
BOOST_AUTO_TEST_CASE(few_daemons_ask_a_store_that_is_out) {
  InVmWorld([](Fiber& fiber, VmWorld& world) {
    constexpr int kClients = 10;
    constexpr int kDisks = 3;
    world.StartAll(fiber, kClients);
    fiber.Sleep(milliseconds(1500));
    world.store().faults().Set("out", -1);
    const auto before = world.store().calls();
    constexpr std::chrono::seconds kOut{3};
    fiber.Sleep(kOut);
    // Two calls under way a daemon, each tried again after 0.7 s at the most;
    // of those that serve clients a third at the most has stepped in.
    const auto most = (kDisks + kClients / 3) * 2 * kOut.count() * 2;
    BOOST_TEST(world.store().calls() - before <= most);
    world.store().faults().Set("out", 0);
    world.WriteConfig(2);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
