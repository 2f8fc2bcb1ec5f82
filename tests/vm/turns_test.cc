// Turns and token budgets stored on three disks, of which one may be lost.

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "storage/replica_client.h"
#include "vm/turn_requests.h"
#include "wire/storage_messages.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr const char* kTurnOutput = "event-1\nevent-2\nevent-3\nevent-4\n";

std::string LastServerRequestBody(VmDeployment& deployment) {
  return deployment.server("s1").service->runs().back().request.body;
}

BOOST_AUTO_TEST_SUITE(turns)

BOOST_AUTO_TEST_CASE(turn_receives_its_chain_through_any_daemon) {
  WithTwoFrontDaemons([](Fiber& fiber, VmDeployment& deployment) {
    BOOST_TEST(SendTurn(fiber, deployment, "front-1", "t1", "one;").status ==
               200);
    BOOST_TEST(
        SendTurn(fiber, deployment, "front-2", "t2", "two;", "t1").status ==
        200);
    BOOST_TEST(LastServerRequestBody(deployment) ==
               std::string("one;") + kTurnOutput + "two;");
    BOOST_TEST(
        SendTurn(fiber, deployment, "front-1", "t3", "three;", "t2").status ==
        200);
    BOOST_TEST(LastServerRequestBody(deployment) == std::string("one;") +
                                                        kTurnOutput + "two;" +
                                                        kTurnOutput + "three;");
    // Starts a second branch after the same turn.
    BOOST_TEST(
        SendTurn(fiber, deployment, "front-2", "t2b", "other;", "t1").status ==
        200);
    BOOST_TEST(LastServerRequestBody(deployment) ==
               std::string("one;") + kTurnOutput + "other;");
  });
}

// A request that comes again may continue from another turn each time.
BOOST_AUTO_TEST_CASE(same_input_behind_other_chains_is_sent_after_each_chain) {
  WithTwoFrontDaemons([](Fiber& fiber, VmDeployment& deployment) {
    const std::string input(2648, 'x');
    for (const std::string first : {"one;", "two;", "three;"}) {
      const auto id = "after-" + first;
      SendTurn(fiber, deployment, "front-1", first, first);
      BOOST_TEST(
          SendTurn(fiber, deployment, "front-2", id, input, first).status ==
          200);
      BOOST_TEST(LastServerRequestBody(deployment) ==
                 first + kTurnOutput + input);
    }
    SendTurn(fiber, deployment, "front-1", "alone", input);
    BOOST_TEST(LastServerRequestBody(deployment) == input);
  });
}

BOOST_AUTO_TEST_CASE(unknown_previous_turn_is_not_found) {
  WithTwoFrontDaemons([](Fiber& fiber, VmDeployment& deployment) {
    const auto before = deployment.server("s1").service->runs().size();
    BOOST_TEST(
        SendTurn(fiber, deployment, "front-1", "t1", "x", "none").status ==
        404);
    BOOST_TEST(deployment.server("s1").service->runs().size() == before);
  });
}

BOOST_AUTO_TEST_CASE(not_found_requires_enough_disks) {
  WithTwoFrontDaemons([](Fiber& fiber, VmDeployment& deployment) {
    SendTurn(fiber, deployment, "front-1", "t1", "one;");
    deployment.StopVm(fiber, deployment.vm("disk-1"));
    deployment.StopVm(fiber, deployment.vm("disk-2"));
    const auto reply =
        SendTurn(fiber, deployment, "front-2", "t2", "x", "none");
    BOOST_TEST(reply.status == 503);
  });
}

BOOST_AUTO_TEST_CASE(turns_survive_loss_of_any_one_disk) {
  for (const auto* lost : {"disk-1", "disk-2", "disk-3"}) {
    WithTwoFrontDaemons([lost](Fiber& fiber, VmDeployment& deployment) {
      BOOST_TEST(SendTurn(fiber, deployment, "front-1", "t1", "one;").status ==
                 200);
      deployment.StopVm(fiber, deployment.vm(lost));
      BOOST_TEST(
          SendTurn(fiber, deployment, "front-2", "t2", "two;", "t1").status ==
          200);
      BOOST_TEST(LastServerRequestBody(deployment) ==
                 std::string("one;") + kTurnOutput + "two;");
    });
  }
}

BOOST_AUTO_TEST_CASE(replacement_disk_copies_turns_before_next_loss) {
  WithTwoFrontDaemons([](Fiber& fiber, VmDeployment& deployment) {
    for (int n = 0; n < 20; ++n) {
      BOOST_TEST(
          SendTurn(fiber, deployment, "front-1", "t" + std::to_string(n), "in;")
              .status == 200);
    }
    deployment.StopVm(fiber, deployment.vm("disk-1"));
    deployment.AddVm("disk-4", true, false);
    BOOST_REQUIRE(deployment.WaitFor(fiber, [&] {
      return deployment.StorageMemberCount() == 3 &&
             deployment.store().Value("comfreyfold/storage").find("disk-4") !=
                 std::string::npos;
    }));
    deployment.StopVm(fiber, deployment.vm("disk-2"));
    for (int n = 0; n < 20; ++n) {
      BOOST_TEST(SendTurn(fiber, deployment, "front-2", "n" + std::to_string(n),
                          "new;", "t" + std::to_string(n))
                     .status == 200);
      BOOST_TEST(LastServerRequestBody(deployment) ==
                 std::string("in;") + kTurnOutput + "new;");
    }
  });
}

// Guards against incident inc-1c3d: requests that used an outdated storage list
// waited for the dead disk.
BOOST_AUTO_TEST_CASE(turns_are_served_while_dead_disk_is_replaced) {
  WithTwoFrontDaemons([](Fiber& fiber, VmDeployment& deployment) {
    deployment.StopVm(fiber, deployment.vm("disk-1"));
    deployment.AddVm("disk-4", true, false);
    const auto replaced = [&deployment] {
      return deployment.StorageMemberCount() == 3 &&
             deployment.store().Value("comfreyfold/storage").find("disk-4") !=
                 std::string::npos;
    };
    int n = 0;
    for (bool done = false; !done;) {
      done = replaced();
      for (int i = 0; i < 10; ++i) {
        const auto id = "t" + std::to_string(++n);
        const auto* front = n % 2 == 0 ? "front-1" : "front-2";
        VmDeployment::ClientRequest client_request{
            "/talk/stream/x", id, "in;", {}};
        client_request.time_limit = milliseconds(700);
        BOOST_TEST(deployment.Send(fiber, deployment.vm(front), client_request)
                       .status == 200);
      }
    }
  });
}

BOOST_AUTO_TEST_CASE(empty_disk_does_not_create_list_after_first_start) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    deployment.WriteConfig(1);
    deployment.AddVm("disk-1", true, false);
    fiber.Sleep(milliseconds(1500));
    BOOST_TEST(deployment.store().Value("comfreyfold/storage").empty());
  });
}

BOOST_AUTO_TEST_CASE(retired_disk_is_reported_empty_after_its_data_is_copied) {
  WithTwoFrontDaemons([](Fiber& fiber, VmDeployment& deployment) {
    for (int n = 0; n < 10; ++n) {
      SendTurn(fiber, deployment, "front-1", "t" + std::to_string(n), "in;");
    }
    deployment.store().Put("op/retire/disk-1", R"({"duration_s":10})");
    BOOST_REQUIRE(deployment.WaitFor(fiber, [&] {
      return deployment.store()
                 .Value("status/retire/disk-1")
                 .find("succeeded") != std::string::npos;
    }));
    BOOST_TEST(deployment.StorageMemberCount() == 2U);
    deployment.StopVm(fiber, deployment.vm("disk-1"));
    for (int n = 0; n < 10; ++n) {
      BOOST_TEST(SendTurn(fiber, deployment, "front-2", "n" + std::to_string(n),
                          "new;", "t" + std::to_string(n))
                     .status == 200);
    }
  });
}

BOOST_AUTO_TEST_CASE(turns_are_served_during_store_outage) {
  WithTwoFrontDaemons([](Fiber& fiber, VmDeployment& deployment) {
    deployment.store().faults().Set("out", -1);
    BOOST_TEST(SendTurn(fiber, deployment, "front-1", "t1", "one;").status ==
               200);
    BOOST_TEST(
        SendTurn(fiber, deployment, "front-2", "t2", "two;", "t1").status ==
        200);
  });
}

HttpReply SendBudgetedTurn(Fiber& fiber,
                           VmDeployment& deployment,
                           const std::string& front,
                           const std::string& id,
                           const std::string& budget = "64",
                           const std::string& program = "p") {
  return deployment.Send(fiber, deployment.vm(front),
                         {"/talk/stream/x",
                          id,
                          "",
                          {{"Program-Id", program},
                           {"Token-Budget", budget},
                           {"Token-Usage", "10,32"}}});
}

// A turn reserves 32 tokens and generates four events of four tokens each.
BOOST_AUTO_TEST_CASE(budget_holds_across_daemons_and_disk_loss) {
  WithTwoFrontDaemons([](Fiber& fiber, VmDeployment& deployment) {
    int served = 0;
    std::string front = "front-1";
    for (int n = 0; n < 8; ++n) {
      if (n == 2) {
        deployment.StopVm(fiber, deployment.vm("disk-2"));
      }
      const auto reply =
          SendBudgetedTurn(fiber, deployment, front, "t" + std::to_string(n));
      if (reply.status == 200) {
        ++served;
      } else {
        BOOST_TEST(reply.status == 402);
      }
      front = front == "front-1" ? "front-2" : "front-1";
    }
    // Three turns use 48 of the 64 tokens; a fourth would reserve 32 more.
    BOOST_TEST(served == 3);
  });
}

BOOST_AUTO_TEST_CASE(refused_turn_releases_its_reservation) {
  WithTwoFrontDaemons([](Fiber& fiber, VmDeployment& deployment) {
    deployment.server("s1").service->faults().Set("refuse", -1);
    for (int n = 0; n < 5; ++n) {
      BOOST_TEST(SendBudgetedTurn(fiber, deployment, "front-1",
                                  "r" + std::to_string(n))
                     .status == 503);
      fiber.Sleep(milliseconds(250));  // Within the settle time limit.
    }
    deployment.server("s1").service->faults().Set("refuse", 0);
    BOOST_TEST(SendBudgetedTurn(fiber, deployment, "front-2", "t").status ==
               200);
  });
}

// Two running turns reserve 32 tokens each of a budget of 64. A third turn is
// then refused with 503 rather than 402, because tokens may become free again.
BOOST_AUTO_TEST_CASE(budget_reserved_by_running_turns_is_not_reported_spent) {
  WithTwoFrontDaemons([](Fiber& fiber, VmDeployment& deployment) {
    deployment.server("s1").service->SetWorkTime(milliseconds(600));
    std::vector<int> statuses;
    for (const auto* id : {"a", "b"}) {
      fiber.loop().Spawn([&deployment, &statuses, id](Fiber& child) {
        statuses.push_back(
            SendBudgetedTurn(child, deployment, "front-1", id).status);
      });
    }
    BOOST_REQUIRE(deployment.WaitFor(fiber, [&deployment] {
      return deployment.server("s1").service->RunsOf("a") == 1 &&
             deployment.server("s1").service->RunsOf("b") == 1;
    }));
    const auto held = SendBudgetedTurn(fiber, deployment, "front-2", "c");
    BOOST_TEST(held.status == 503);
    BOOST_TEST(!held.Header("Retry-After").empty());
    BOOST_REQUIRE(
        deployment.WaitFor(fiber, [&] { return statuses.size() == 2U; }));
    deployment.server("s1").service->SetWorkTime(milliseconds(0));
    BOOST_TEST(SendBudgetedTurn(fiber, deployment, "front-2", "d").status ==
               200);
    BOOST_TEST(SendBudgetedTurn(fiber, deployment, "front-1", "e").status ==
               402);
  });
}

// The budget covers a single turn. After a refusal the client immediately
// retries through another daemon, where the refused turn must not hold any
// tokens.
BOOST_AUTO_TEST_CASE(refused_turn_releases_reservation_before_client_retries) {
  WithTwoFrontDaemons([](Fiber& fiber, VmDeployment& deployment) {
    for (int n = 0; n < 6; ++n) {
      deployment.server("s1").service->faults().Set("refuse", -1);
      const auto id = std::to_string(n);
      BOOST_TEST(SendBudgetedTurn(fiber, deployment, "front-1", "r" + id, "40")
                     .status == 503);
    }
    deployment.server("s1").service->faults().Set("refuse", 0);
    fiber.Sleep(milliseconds(50));  // Delay of the client before its retry.
    BOOST_TEST(
        SendBudgetedTurn(fiber, deployment, "front-2", "t", "40").status ==
        200);
  });
}

// The budgets of these programs are replicated to disks of two data centres.
// When the client has received the complete answer, a quorum of the replicas
// must have stored the tokens that were used, because all VMs may lose power at
// that moment.
BOOST_AUTO_TEST_CASE(used_tokens_are_known_to_quorum_when_turn_completes) {
  WithTwoFrontDaemons([](Fiber& fiber, VmDeployment& deployment) {
    deployment.AddVm("disk-4", true, false, "south");
    deployment.AddVm("disk-5", true, false, "south");
    BOOST_REQUIRE(deployment.WaitFor(fiber, [&deployment] {
      return deployment.StorageMemberCount() == 5U;
    }));
    const auto list =
        DecodeStorageList(deployment.store().Value("comfreyfold/storage"));
    for (int n = 0; n < 12; ++n) {
      const auto program = "p" + std::to_string(n);
      const auto id = "t" + std::to_string(n);
      BOOST_TEST(
          SendBudgetedTurn(fiber, deployment, "front-1", id, "64", program)
              .status == 200);
      StorageRequest request;
      request.operation = StorageOperation::kUses;
      request.program = program;
      std::size_t replicas_with_use = 0;
      const auto replicas = list.ReplicasOf(program, 1).front();
      for (const auto& disk : replicas.disks) {
        const auto reply = DecodeStorageReply(
            deployment.http()
                .Send(fiber, list.Find(disk)->address,
                      {"POST", kStoragePath + disk, {}, Encode(request)})
                .body);
        replicas_with_use += std::count_if(
            reply.uses.begin(), reply.uses.end(), [&id](const auto& use) {
              return use.request == id && use.settled && use.tokens == 16;
            });
      }
      BOOST_TEST(replicas_with_use >= replicas.quorum);
    }
  });
}

BOOST_AUTO_TEST_CASE(budget_is_unavailable_without_quorum) {
  WithTwoFrontDaemons([](Fiber& fiber, VmDeployment& deployment) {
    deployment.StopVm(fiber, deployment.vm("disk-1"));
    deployment.StopVm(fiber, deployment.vm("disk-2"));
    BOOST_TEST(SendBudgetedTurn(fiber, deployment, "front-1", "t").status ==
               503);
  });
}

// A deployment that is still starting may have only one disk where budgets need
// two. Requests with a budget are refused then, and the daemon keeps running.
BOOST_AUTO_TEST_CASE(too_few_disks_refuse_budgets_without_crash) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    deployment.WriteConfig(1);
    deployment.AddVm("disk-1", true);
    deployment.AddVm("front-1", false);
    deployment.AddServer("s1");
    BOOST_REQUIRE(deployment.WaitFor(fiber, [&] {
      return deployment.StorageMemberCount() == 1U &&
             deployment.IsReady(fiber, deployment.vm("front-1"));
    }));
    for (int n = 0; n < 3; ++n) {
      BOOST_TEST(SendBudgetedTurn(fiber, deployment, "front-1",
                                  "t" + std::to_string(n))
                     .status == 503);
    }
    BOOST_TEST(deployment.IsReady(fiber, deployment.vm("front-1")));
  });
}

BOOST_AUTO_TEST_CASE(daemon_relays_storage_requests) {
  WithTwoFrontDaemons([](Fiber& fiber, VmDeployment& deployment) {
    SendTurn(fiber, deployment, "front-1", "t1", "one;");
    const auto list =
        DecodeStorageList(deployment.store().Value("comfreyfold/storage"));
    StorageRequest request;
    request.operation = StorageOperation::kDigest;
    std::size_t copies = 0;
    for (const auto& it : list.members) {
      const auto reply = deployment.http().Send(
          fiber, deployment.vm("front-2").settings.internal_address,
          {"POST",
           kStoragePath + it.disk,
           {{kRelayHeader, "1"}},
           Encode(request)});
      BOOST_TEST(reply.status == 200);
      copies += DecodeStorageReply(reply.body).ids.size();
    }
    BOOST_TEST(copies >= 2U);
    const auto unknown = deployment.http().Send(
        fiber, deployment.vm("front-2").settings.internal_address,
        {"POST",
         std::string(kStoragePath) + "none",
         {{kRelayHeader, "1"}},
         Encode(request)});
    BOOST_TEST(unknown.status == 404);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
