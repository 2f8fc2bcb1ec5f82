// Chains of turns stay on enough disks, for as long as their newest turn.

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "storage/replica_client.h"
#include "storage/storage_membership_manager.h"
#include "vm/disk_gate.h"
#include "vm/turn_requests.h"
#include "wire/storage_messages.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

StorageList ListOf(VmDeployment& deployment) {
  return DecodeStorageList(deployment.store().Value(kStorageListKey));
}

// Sends a turn of each of several programs to the daemon "front-1". Returns the
// ids of the turns that were answered. Programs with a budget spread their
// turns over all disks.
std::vector<std::string> SendTurnsOfPrograms(Fiber& fiber,
                                             VmDeployment& deployment) {
  constexpr int kPrograms = 20;
  std::vector<std::string> out;
  for (int n = 0; n < kPrograms; ++n) {
    const auto id = "t" + std::to_string(n);
    const VmDeployment::ClientRequest turn{"/talk/stream/x",
                                           id,
                                           "in;",
                                           {{"Program-Id", "p" + id},
                                            {"Token-Budget", "64"},
                                            {"Token-Usage", "10,32"}}};
    if (deployment.Send(fiber, deployment.vm("front-1"), turn).status == 200) {
      out.push_back(id);
    }
  }
  return out;
}

// Has a disk join, and answers turns while the change cannot end because the
// store is out. Returns the ids of the turns.
std::vector<std::string> SendTurnsDuringJoin(Fiber& fiber,
                                             VmDeployment& deployment) {
  // Leaves time to see the change before its next step.
  deployment.store().faults().Set("slow", -1, milliseconds(200));
  deployment.AddVm("disk-4", true, false);
  BOOST_REQUIRE(deployment.WaitFor(
      fiber, [&] { return ListOf(deployment).next.size() == 4U; }));
  deployment.store().faults().Set("out", -1);
  deployment.store().faults().Set("slow", 0);
  auto out = SendTurnsOfPrograms(fiber, deployment);
  BOOST_REQUIRE(!out.empty());
  BOOST_REQUIRE(ListOf(deployment).changing());
  return out;
}

// Returns the copy of the turn on a disk, if there is one.
std::vector<TurnRecord> FetchFrom(Fiber& fiber,
                                  VmDeployment& deployment,
                                  const StorageMember& member,
                                  const std::string& id) {
  StorageRequest request;
  request.operation = StorageOperation::kFetch;
  request.ids = {id};
  const auto reply = deployment.http().Send(
      fiber, member.address,
      {"POST", kStoragePath + member.disk, {}, Encode(request)});
  return DecodeStorageReply(reply.body).turns;
}

// Returns when each copy of the turn on a disk of the list expires.
std::vector<milliseconds> ExpiriesOf(Fiber& fiber,
                                     VmDeployment& deployment,
                                     const std::string& id) {
  std::vector<milliseconds> out;
  const auto list = ListOf(deployment);
  for (const auto& it : list.members) {
    for (const auto& turn : FetchFrom(fiber, deployment, it, id)) {
      out.push_back(turn.expires_at);
    }
  }
  return out;
}

BOOST_AUTO_TEST_SUITE(chains)

// The retention of earlier turns was extended only on the disks that stored the
// new turn. Where these differed from turn to turn, a chain that lived longer
// than one retention rested on one disk.
BOOST_AUTO_TEST_CASE(whole_chain_is_kept_on_enough_disks_as_long_as_its_end) {
  WithTwoFrontDaemons([](Fiber& fiber, VmDeployment& deployment) {
    constexpr int kTurns = 4;
    for (int chain = 0; chain < 8; ++chain) {
      std::vector<std::string> ids;
      for (int n = 0; n < kTurns; ++n) {
        const auto previous = ids.empty() ? "" : ids.back();
        ids.push_back(std::to_string(chain) + "-" + std::to_string(n));
        BOOST_TEST(SendTurn(fiber, deployment,
                            n % 2 == 0 ? "front-1" : "front-2", ids.back(),
                            "in;", previous)
                       .status == 200);
        // So that each turn expires later than the one before.
        fiber.Sleep(milliseconds(2));
      }
      const auto newest = ExpiriesOf(fiber, deployment, ids.back());
      const auto end = *std::max_element(newest.begin(), newest.end());
      for (const auto& id : ids) {
        const auto copies = ExpiriesOf(fiber, deployment, id);
        BOOST_TEST(std::count_if(copies.begin(), copies.end(),
                                 [end](auto it) { return it >= end; }) >= 2);
      }
    }
  });
}

// Copies of earlier turns that would expire soon were counted as copies when a
// disk left, so that nothing took the place of the copy on it.
BOOST_AUTO_TEST_CASE(retired_disk_leaves_chains_that_last_on_enough_disks) {
  WithTwoFrontDaemons([](Fiber& fiber, VmDeployment& deployment) {
    constexpr int kChains = 8;
    const auto send = [&](const std::string& turn,
                          const std::string& previous) {
      for (int n = 0; n < kChains; ++n) {
        const auto chain = std::to_string(n);
        BOOST_TEST(SendTurn(fiber, deployment, "front-1", chain + turn, "in;",
                            previous.empty() ? "" : chain + previous)
                       .status == 200);
      }
    };
    send("a", "");
    // The second turns are stored, with the first, on the other disks.
    deployment.StopVm(fiber, deployment.vm("disk-1"));
    send("b", "a");
    deployment.RestartVm(deployment.vm("disk-1"));
    deployment.store().Put("op/retire/disk-2", R"({"duration_s":10})");
    BOOST_REQUIRE(deployment.WaitFor(
        fiber, [&] { return deployment.StorageMemberCount() == 2U; }));
    for (int n = 0; n < kChains; ++n) {
      const auto chain = std::to_string(n);
      const auto newest = ExpiriesOf(fiber, deployment, chain + "b");
      const auto end = *std::max_element(newest.begin(), newest.end());
      const auto copies = ExpiriesOf(fiber, deployment, chain + "a");
      BOOST_TEST(std::count_if(copies.begin(), copies.end(),
                               [end](auto it) { return it >= end; }) == 2);
    }
  });
}

// What had been written while a disk joined counted as stored with the copy on
// that disk. When it was dropped before it had joined, nothing replaced the
// copy, and two disks of three without the turn passed for a proof that there
// is none.
BOOST_AUTO_TEST_CASE(turns_survive_a_disk_that_is_lost_while_it_joins) {
  WithTwoFrontDaemons([](Fiber& fiber, VmDeployment& deployment) {
    const auto answered = SendTurnsDuringJoin(fiber, deployment);
    deployment.StopVm(fiber, deployment.vm("disk-4"));
    deployment.store().faults().Set("out", 0);
    BOOST_REQUIRE(deployment.WaitFor(fiber, [&] {
      const auto list = ListOf(deployment);
      return !list.changing() && list.members.size() == 3U;
    }));
    for (const auto& id : answered) {
      BOOST_TEST(ExpiriesOf(fiber, deployment, id).size() >= 2U);
      BOOST_TEST(
          SendTurn(fiber, deployment, "front-2", "after-" + id, "in;", id)
              .status == 200);
    }
  });
}

// A disk that had not stored the new list yet counted as asked for its turns,
// and had the last copy of some.
BOOST_AUTO_TEST_CASE(turns_survive_a_lost_join_beside_a_disk_that_is_slow) {
  auto* gate = new DiskGate;  // The daemons are never destroyed.
  WithTwoFrontDaemons([gate](Fiber& fiber, VmDeployment& deployment) {
    auto& slow = deployment.vm("disk-3");
    gate->Guard(slow);
    const auto answered = SendTurnsDuringJoin(fiber, deployment);
    deployment.StopVm(fiber, deployment.vm("disk-4"));
    gate->Close();
    deployment.store().faults().Set("out", 0);
    // The change is begun anew without the disk that was joining.
    BOOST_REQUIRE(
        deployment.WaitFor(fiber, [&] { return ListOf(deployment).recopies; }));
    // The other disks have nothing to wait for but the slow one, which refuses
    // to list its turns after 1.5 s.
    fiber.Sleep(milliseconds(4000));
    gate->Open();
    BOOST_REQUIRE(deployment.WaitFor(
        fiber, [&] { return !ListOf(deployment).changing(); }));
    for (const auto& id : answered) {
      BOOST_TEST(ExpiriesOf(fiber, deployment, id).size() >= 2U);
    }
  });
}

// A client used the id of a turn again, behind a later turn of its chain. The
// next daemon that read the chain never got to its beginning.
BOOST_AUTO_TEST_CASE(chain_that_leads_back_to_itself_does_not_hang_a_daemon) {
  WithTwoFrontDaemons([](Fiber& fiber, VmDeployment& deployment) {
    SendTurn(fiber, deployment, "front-1", "a", "one;");
    SendTurn(fiber, deployment, "front-1", "b", "two;", "a");
    std::vector<std::string> holders;
    const auto list =
        DecodeStorageList(deployment.store().Value("comfreyfold/storage"));
    for (const auto& it : list.members) {
      if (!FetchFrom(fiber, deployment, it, "a").empty()) {
        holders.push_back(it.vm);
      }
    }
    BOOST_REQUIRE(holders.size() == 2U);
    // The third disk has neither turn, and only it answers at the end.
    deployment.StopVm(fiber, deployment.vm(holders.front()));
    SendTurn(fiber, deployment, "front-1", "a", "again;", "b");
    deployment.StopVm(fiber, deployment.vm(holders.back()));
    for (const auto* previous : {"a", "b"}) {
      BOOST_TEST(
          SendTurn(fiber, deployment, "front-2", "c", "x", previous).status ==
          503);
    }
    BOOST_TEST(deployment.IsReady(fiber, deployment.vm("front-2")));
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
