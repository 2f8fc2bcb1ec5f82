// Disks that answer late, though nothing is lost.

#include <boost/test/unit_test.hpp>

#include "core/wall_clock.h"
#include "storage/replica_client.h"
#include "storage/storage_membership_manager.h"
#include "vm/disk_gate.h"
#include "vm/turn_requests.h"
#include "wire/codec.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

// Runs `body` with a gate before the three disks.
void WithGuardedDisks(
    const std::function<void(Fiber&, VmDeployment&, DiskGate&)>& body) {
  // The daemons of a deployment are never destroyed.
  auto* gate = new DiskGate;
  WithTwoFrontDaemons([&](Fiber& fiber, VmDeployment& deployment) {
    for (const auto* it : {"disk-1", "disk-2", "disk-3"}) {
      gate->Guard(deployment.vm(it));
    }
    body(fiber, deployment, *gate);
    gate->Open();
  });
}

struct PendingTurn {
  bool ended = false;
  HttpReply reply;
};

// Sends a turn in a coroutine of its own.
std::shared_ptr<PendingTurn> BeginTurn(VmDeployment& deployment,
                                       const std::string& id) {
  auto out = std::make_shared<PendingTurn>();
  deployment.loop().Spawn([&deployment, id, out](Fiber& child) {
    out->reply = SendTurn(child, deployment, "front-1", id, "in;");
    out->ended = true;
  });
  return out;
}

HttpReply SendNewProgram(Fiber& fiber,
                         VmDeployment& deployment,
                         const std::string& id) {
  return deployment.Send(fiber, deployment.vm("front-1"),
                         {"/talk/stream/x",
                          id,
                          "in;",
                          {{"Program-Id", "program-" + id},
                           {"Token-Budget", "64"},
                           {"Token-Usage", "10,32"}}});
}

BOOST_AUTO_TEST_SUITE(slow_disks)

BOOST_AUTO_TEST_CASE(stream_of_ended_turn_is_not_cut_before_its_time_is_over) {
  WithGuardedDisks([](Fiber& fiber, VmDeployment& deployment, DiskGate& gate) {
    gate.Close();
    const auto turn = BeginTurn(deployment, "t1");
    BOOST_REQUIRE(
        deployment.WaitFor(fiber, [&] { return gate.waiting() >= 2; }));
    // Half of the time limit of the turn.
    fiber.Sleep(milliseconds(2000));
    BOOST_TEST(!turn->ended);
    gate.Open();
    BOOST_REQUIRE(deployment.WaitFor(fiber, [&] { return turn->ended; }));
    BOOST_TEST(turn->reply.status == 200);
    BOOST_TEST(
        SendTurn(fiber, deployment, "front-2", "t2", "in;", "t1").status ==
        200);
  });
}

// Disks that had been slow for another turn were taken for unreachable ones.
BOOST_AUTO_TEST_CASE(turn_is_stored_by_daemon_that_waits_for_slow_disks) {
  WithGuardedDisks([](Fiber& fiber, VmDeployment& deployment, DiskGate& gate) {
    gate.Close();
    const auto first = BeginTurn(deployment, "t1");
    BOOST_REQUIRE(
        deployment.WaitFor(fiber, [&] { return gate.waiting() == 3; }));
    // The daemon takes all of them for slow now.
    fiber.Sleep(milliseconds(500));
    const auto second = BeginTurn(deployment, "t2");
    fiber.Sleep(milliseconds(500));
    BOOST_TEST(!second->ended);
    gate.Open();
    BOOST_REQUIRE(deployment.WaitFor(
        fiber, [&] { return first->ended && second->ended; }));
    BOOST_TEST(first->reply.status == 200);
    BOOST_TEST(second->reply.status == 200);
  });
}

// A relay gave up after 200 ms, so that no turn of a daemon that is cut off was
// stored while syncs took longer.
BOOST_AUTO_TEST_CASE(relay_waits_for_slow_disk_as_long_as_the_sender) {
  WithGuardedDisks([](Fiber& fiber, VmDeployment& deployment, DiskGate& gate) {
    const auto list =
        DecodeStorageList(deployment.store().Value(kStorageListKey));
    StorageRequest request;
    request.operation = StorageOperation::kStore;
    request.turns.push_back(
        {"t1", "", "in;", "out;", WallNow() + milliseconds(60000)});
    gate.Close();
    const auto relayed = [&](const std::string& time_ms) {
      return deployment.http()
          .Send(fiber, deployment.vm("front-1").settings.internal_address,
                {"POST",
                 kStoragePath + list.members.front().disk,
                 {{kRelayHeader, time_ms}},
                 Encode(request)})
          .status;
    };
    BOOST_TEST(relayed("1") == 503);
    deployment.loop().Spawn([&gate](Fiber& child) {
      child.Sleep(milliseconds(600));
      gate.Open();
    });
    BOOST_TEST(relayed("3000") == 200);
  });
}

// Every request waited for 1.2 s and came back soon, so that the disks never
// caught up.
BOOST_AUTO_TEST_CASE(requests_are_refused_at_once_after_disks_answered_none) {
  WithGuardedDisks([](Fiber& fiber, VmDeployment& deployment, DiskGate& gate) {
    constexpr int kTurns = 30;
    gate.Close();
    int ended = 0;
    for (int n = 0; n < kTurns; ++n) {
      deployment.loop().Spawn([&, n](Fiber& child) {
        SendNewProgram(child, deployment, "a" + std::to_string(n));
        ++ended;
      });
    }
    BOOST_REQUIRE(deployment.WaitFor(fiber, [&] { return ended == kTurns; }));
    std::vector<HttpReply> refused;
    for (int n = 0; n < kTurns; ++n) {
      deployment.loop().Spawn([&, n](Fiber& child) {
        auto reply = SendNewProgram(child, deployment, "b" + std::to_string(n));
        if (reply.body.find("storage_overloaded") != std::string::npos) {
          refused.push_back(std::move(reply));
        }
      });
    }
    fiber.Sleep(milliseconds(200));
    BOOST_TEST(refused.size() > kTurns / 2);
    for (const auto& it : refused) {
      BOOST_TEST(it.status == 503);
      BOOST_TEST(std::stod(it.Header("Retry-After")) >= 0.15);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
