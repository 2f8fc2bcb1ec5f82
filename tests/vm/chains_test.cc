// Chains of turns stay on enough disks, for as long as their newest turn.

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "storage/replica_client.h"
#include "vm/turn_requests.h"
#include "wire/storage_messages.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

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
  const auto list =
      DecodeStorageList(deployment.store().Value("comfreyfold/storage"));
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
    constexpr const char* kListKey = "comfreyfold/storage";
    const auto list = [&deployment] {
      return DecodeStorageList(deployment.store().Value(kListKey));
    };
    // Leaves time to see the change before its next step.
    deployment.store().faults().Set("slow", -1, milliseconds(200));
    auto& joining = deployment.AddVm("disk-4", true, false);
    BOOST_REQUIRE(
        deployment.WaitFor(fiber, [&] { return list().next.size() == 4U; }));
    // The change cannot end while the store is out.
    deployment.store().faults().Set("out", -1);
    deployment.store().faults().Set("slow", 0);
    std::vector<std::string> answered;
    for (int n = 0; n < 20; ++n) {
      const auto id = "t" + std::to_string(n);
      // Programs with a budget spread their turns over all disks.
      const VmDeployment::ClientRequest turn{"/talk/stream/x",
                                             id,
                                             "in;",
                                             {{"Program-Id", "p" + id},
                                              {"Token-Budget", "64"},
                                              {"Token-Usage", "10,32"}}};
      if (deployment.Send(fiber, deployment.vm("front-1"), turn).status ==
          200) {
        answered.push_back(id);
      }
    }
    BOOST_REQUIRE(!answered.empty());
    BOOST_REQUIRE(list().changing());
    deployment.StopVm(fiber, joining);
    deployment.store().faults().Set("out", 0);
    BOOST_REQUIRE(deployment.WaitFor(fiber, [&] {
      return !list().changing() && list().members.size() == 3U;
    }));
    for (const auto& id : answered) {
      BOOST_TEST(ExpiriesOf(fiber, deployment, id).size() >= 2U);
      BOOST_TEST(
          SendTurn(fiber, deployment, "front-2", "after-" + id, "in;", id)
              .status == 200);
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
