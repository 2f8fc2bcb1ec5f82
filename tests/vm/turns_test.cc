// Turns and token budgets over three disks, one of which may be lost.

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "storage/replica_client.h"
#include "vm/vm_world.h"
#include "wire/storage_messages.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr const char* kOutput = "event-1\nevent-2\nevent-3\nevent-4\n";

using Body = std::function<void(Fiber&, VmWorld&)>;

void WithTwoFronts(const Body& body) {
  InVmWorld([&](Fiber& fiber, VmWorld& world) {
    world.StartAll(fiber, 2);
    world.AddServer("s1");
    for (const auto* name : {"front-1", "front-2"}) {
      BOOST_REQUIRE(world.WaitFor(fiber, [&] {
        return world.Send(fiber, world.vm(name), {"/plain/x", "probe", "", {}})
                   .status == 200;
      }));
    }
    body(fiber, world);
  });
}

HttpReply Turn(Fiber& fiber,
               VmWorld& world,
               const std::string& front,
               const std::string& id,
               const std::string& input,
               const std::string& previous = {}) {
  VmWorld::Ask ask{"/talk/stream/x", id, input, {}};
  if (!previous.empty()) {
    ask.headers.push_back({"Previous-Turn", previous});
  }
  return world.Send(fiber, world.vm(front), ask);
}

std::string LastBody(VmWorld& world) {
  return world.server("s1").service->runs().back().request.body;
}

BOOST_AUTO_TEST_SUITE(turns)

BOOST_AUTO_TEST_CASE(a_turn_gets_all_before_it_through_any_daemon) {
  WithTwoFronts([](Fiber& fiber, VmWorld& world) {
    BOOST_TEST(Turn(fiber, world, "front-1", "t1", "one;").status == 200);
    BOOST_TEST(Turn(fiber, world, "front-2", "t2", "two;", "t1").status == 200);
    BOOST_TEST(LastBody(world) == std::string("one;") + kOutput + "two;");
    BOOST_TEST(Turn(fiber, world, "front-1", "t3", "three;", "t2").status ==
               200);
    BOOST_TEST(LastBody(world) ==
               std::string("one;") + kOutput + "two;" + kOutput + "three;");
    // A second turn after the same one.
    BOOST_TEST(Turn(fiber, world, "front-2", "t2b", "other;", "t1").status ==
               200);
    BOOST_TEST(LastBody(world) == std::string("one;") + kOutput + "other;");
  });
}

BOOST_AUTO_TEST_CASE(a_turn_that_never_was_is_not_found) {
  WithTwoFronts([](Fiber& fiber, VmWorld& world) {
    const auto before = world.server("s1").service->runs().size();
    BOOST_TEST(Turn(fiber, world, "front-1", "t1", "x", "none").status == 404);
    BOOST_TEST(world.server("s1").service->runs().size() == before);
  });
}

BOOST_AUTO_TEST_CASE(not_found_needs_enough_disks_to_say_so) {
  WithTwoFronts([](Fiber& fiber, VmWorld& world) {
    Turn(fiber, world, "front-1", "t1", "one;");
    world.Cut(world.vm("disk-1"));
    world.Cut(world.vm("disk-2"));
    const auto reply = Turn(fiber, world, "front-2", "t2", "x", "none");
    BOOST_TEST(reply.status == 503);
  });
}

BOOST_AUTO_TEST_CASE(turns_outlive_any_one_disk) {
  for (const auto* lost : {"disk-1", "disk-2", "disk-3"}) {
    WithTwoFronts([lost](Fiber& fiber, VmWorld& world) {
      BOOST_TEST(Turn(fiber, world, "front-1", "t1", "one;").status == 200);
      world.Cut(world.vm(lost));
      BOOST_TEST(Turn(fiber, world, "front-2", "t2", "two;", "t1").status ==
                 200);
      BOOST_TEST(LastBody(world) == std::string("one;") + kOutput + "two;");
    });
  }
}

BOOST_AUTO_TEST_CASE(an_emptied_disk_copies_before_the_next_may_be_lost) {
  WithTwoFronts([](Fiber& fiber, VmWorld& world) {
    for (int n = 0; n < 20; ++n) {
      BOOST_TEST(Turn(fiber, world, "front-1", "t" + std::to_string(n), "in;")
                     .status == 200);
    }
    world.Cut(world.vm("disk-1"));
    world.AddVm("disk-4", true, false);
    BOOST_REQUIRE(world.WaitFor(fiber, [&] {
      return world.Members() == 3 &&
             world.store().Value("comfreyfold/storage").find("disk-4") !=
                 std::string::npos;
    }));
    world.Cut(world.vm("disk-2"));
    for (int n = 0; n < 20; ++n) {
      BOOST_TEST(Turn(fiber, world, "front-2", "n" + std::to_string(n), "new;",
                      "t" + std::to_string(n))
                     .status == 200);
      BOOST_TEST(LastBody(world) == std::string("in;") + kOutput + "new;");
    }
  });
}

// Incident inc-1c3d: requests with an old list waited for the dead disk.
BOOST_AUTO_TEST_CASE(turns_go_on_while_a_dead_disk_is_replaced) {
  WithTwoFronts([](Fiber& fiber, VmWorld& world) {
    world.Cut(world.vm("disk-1"));
    world.AddVm("disk-4", true, false);
    const auto replaced = [&world] {
      return world.Members() == 3 &&
             world.store().Value("comfreyfold/storage").find("disk-4") !=
                 std::string::npos;
    };
    int n = 0;
    for (bool done = false; !done;) {
      done = replaced();
      for (int after = 0; after < 10; ++after) {
        const auto id = "t" + std::to_string(++n);
        const auto* front = n % 2 == 0 ? "front-1" : "front-2";
        VmWorld::Ask ask{"/talk/stream/x", id, "in;", {}};
        ask.time = milliseconds(700);
        BOOST_TEST(world.Send(fiber, world.vm(front), ask).status == 200);
      }
    }
  });
}

BOOST_AUTO_TEST_CASE(an_empty_disk_that_is_no_member_does_not_found_anew) {
  InVmWorld([](Fiber& fiber, VmWorld& world) {
    world.WriteConfig(1);
    world.AddVm("disk-1", true, false);
    fiber.Sleep(milliseconds(1500));
    BOOST_TEST(world.store().Value("comfreyfold/storage").empty());
  });
}

BOOST_AUTO_TEST_CASE(a_retired_disk_is_reported_empty_once_others_have_all) {
  WithTwoFronts([](Fiber& fiber, VmWorld& world) {
    for (int n = 0; n < 10; ++n) {
      Turn(fiber, world, "front-1", "t" + std::to_string(n), "in;");
    }
    world.store().Put("op/retire/disk-1", R"({"duration_s":10})");
    BOOST_REQUIRE(world.WaitFor(fiber, [&] {
      return world.store().Value("status/retire/disk-1").find("succeeded") !=
             std::string::npos;
    }));
    BOOST_TEST(world.Members() == 2U);
    world.Cut(world.vm("disk-1"));
    for (int n = 0; n < 10; ++n) {
      BOOST_TEST(Turn(fiber, world, "front-2", "n" + std::to_string(n), "new;",
                      "t" + std::to_string(n))
                     .status == 200);
    }
  });
}

BOOST_AUTO_TEST_CASE(the_store_is_not_needed_to_serve_turns) {
  WithTwoFronts([](Fiber& fiber, VmWorld& world) {
    world.store().faults().Set("out", -1);
    BOOST_TEST(Turn(fiber, world, "front-1", "t1", "one;").status == 200);
    BOOST_TEST(Turn(fiber, world, "front-2", "t2", "two;", "t1").status == 200);
  });
}

HttpReply Budgeted(Fiber& fiber,
                   VmWorld& world,
                   const std::string& front,
                   const std::string& id,
                   const std::string& budget = "64",
                   const std::string& program = "p") {
  return world.Send(fiber, world.vm(front),
                    {"/talk/stream/x",
                     id,
                     "",
                     {{"Program-Id", program},
                      {"Token-Budget", budget},
                      {"Token-Usage", "10,32"}}});
}

// A turn makes four events of four tokens and may make 32 tokens.
BOOST_AUTO_TEST_CASE(a_budget_holds_over_daemons_and_a_lost_disk) {
  WithTwoFronts([](Fiber& fiber, VmWorld& world) {
    int served = 0;
    std::string front = "front-1";
    for (int n = 0; n < 8; ++n) {
      if (n == 2) {
        world.Cut(world.vm("disk-2"));
      }
      const auto reply = Budgeted(fiber, world, front, "t" + std::to_string(n));
      if (reply.status == 200) {
        ++served;
      } else {
        BOOST_TEST(reply.status == 402);
      }
      front = front == "front-1" ? "front-2" : "front-1";
    }
    // Three turns use 48 tokens; a fourth could use 32 more.
    BOOST_TEST(served == 3);
  });
}

BOOST_AUTO_TEST_CASE(a_refused_turn_has_not_run_and_frees_what_it_reserved) {
  WithTwoFronts([](Fiber& fiber, VmWorld& world) {
    world.server("s1").service->faults().Set("refuse", -1);
    for (int n = 0; n < 5; ++n) {
      BOOST_TEST(
          Budgeted(fiber, world, "front-1", "r" + std::to_string(n)).status ==
          503);
      fiber.Sleep(milliseconds(250));  // Within the deployment's settle time.
    }
    world.server("s1").service->faults().Set("refuse", 0);
    BOOST_TEST(Budgeted(fiber, world, "front-2", "t").status == 200);
  });
}

// Of a budget of 64 a turn that runs holds 32, and so may a second one.
BOOST_AUTO_TEST_CASE(a_budget_that_turns_under_way_hold_is_not_called_spent) {
  WithTwoFronts([](Fiber& fiber, VmWorld& world) {
    world.server("s1").service->SetWork(milliseconds(600));
    std::vector<int> statuses;
    for (const auto* id : {"a", "b"}) {
      fiber.loop().Spawn([&world, &statuses, id](Fiber& child) {
        statuses.push_back(Budgeted(child, world, "front-1", id).status);
      });
    }
    BOOST_REQUIRE(world.WaitFor(fiber, [&world] {
      return world.server("s1").service->RunsOf("a") == 1 &&
             world.server("s1").service->RunsOf("b") == 1;
    }));
    const auto held = Budgeted(fiber, world, "front-2", "c");
    BOOST_TEST(held.status == 503);
    BOOST_TEST(!held.Header("Retry-After").empty());
    BOOST_REQUIRE(world.WaitFor(fiber, [&] { return statuses.size() == 2U; }));
    world.server("s1").service->SetWork(milliseconds(0));
    BOOST_TEST(Budgeted(fiber, world, "front-2", "d").status == 200);
    BOOST_TEST(Budgeted(fiber, world, "front-1", "e").status == 402);
  });
}

// A client that was refused comes back at once, through another daemon. The
// budget holds one turn.
BOOST_AUTO_TEST_CASE(a_refused_turn_holds_nothing_when_its_client_is_back) {
  WithTwoFronts([](Fiber& fiber, VmWorld& world) {
    for (int n = 0; n < 6; ++n) {
      world.server("s1").service->faults().Set("refuse", -1);
      const auto id = std::to_string(n);
      BOOST_TEST(Budgeted(fiber, world, "front-1", "r" + id, "40").status ==
                 503);
    }
    world.server("s1").service->faults().Set("refuse", 0);
    fiber.Sleep(milliseconds(50));  // A client's pause.
    BOOST_TEST(Budgeted(fiber, world, "front-2", "t", "40").status == 200);
  });
}

// Disks of another data centre decide on these programs' budgets too. When the
// client has its whole answer, so many of them know what it used that no quorum
// misses it: everything may lose power at that moment.
BOOST_AUTO_TEST_CASE(what_a_whole_turn_used_is_known_wherever_budgets_are) {
  WithTwoFronts([](Fiber& fiber, VmWorld& world) {
    world.AddVm("disk-4", true, false, "south");
    world.AddVm("disk-5", true, false, "south");
    BOOST_REQUIRE(
        world.WaitFor(fiber, [&world] { return world.Members() == 5U; }));
    const auto list =
        DecodeStorageList(world.store().Value("comfreyfold/storage"));
    for (int n = 0; n < 12; ++n) {
      const auto program = "p" + std::to_string(n);
      const auto id = "t" + std::to_string(n);
      BOOST_TEST(Budgeted(fiber, world, "front-1", id, "64", program).status ==
                 200);
      StorageRequest request;
      request.operation = StorageOperation::kUses;
      request.program = program;
      std::size_t know = 0;
      const auto replicas = list.ReplicasOf(program, 1).front();
      for (const auto& disk : replicas.disks) {
        const auto reply = DecodeStorageReply(
            world.http()
                .Send(fiber, list.Find(disk)->address,
                      {"POST", kStoragePath + disk, {}, Encode(request)})
                .body);
        know += std::count_if(
            reply.uses.begin(), reply.uses.end(), [&id](const auto& use) {
              return use.request == id && use.settled && use.tokens == 16;
            });
      }
      BOOST_TEST(know >= replicas.quorum);
    }
  });
}

BOOST_AUTO_TEST_CASE(a_budget_is_not_guessed_without_a_quorum) {
  WithTwoFronts([](Fiber& fiber, VmWorld& world) {
    world.Cut(world.vm("disk-1"));
    world.Cut(world.vm("disk-2"));
    BOOST_TEST(Budgeted(fiber, world, "front-1", "t").status == 503);
  });
}

// One disk where two are needed: a deployment that has just begun to start.
BOOST_AUTO_TEST_CASE(a_deployment_with_too_few_disks_refuses_and_lives_on) {
  InVmWorld([](Fiber& fiber, VmWorld& world) {
    world.WriteConfig(1);
    world.AddVm("disk-1", true);
    world.AddVm("front-1", false);
    world.AddServer("s1");
    BOOST_REQUIRE(world.WaitFor(fiber, [&] {
      return world.Members() == 1U && world.Ready(fiber, world.vm("front-1"));
    }));
    for (int n = 0; n < 3; ++n) {
      BOOST_TEST(
          Budgeted(fiber, world, "front-1", "t" + std::to_string(n)).status ==
          503);
    }
    BOOST_TEST(world.Ready(fiber, world.vm("front-1")));
  });
}

BOOST_AUTO_TEST_CASE(a_daemon_passes_storage_requests_on) {
  WithTwoFronts([](Fiber& fiber, VmWorld& world) {
    Turn(fiber, world, "front-1", "t1", "one;");
    const auto list =
        DecodeStorageList(world.store().Value("comfreyfold/storage"));
    StorageRequest request;
    request.operation = StorageOperation::kDigest;
    std::size_t copies = 0;
    for (const auto& it : list.members) {
      const auto reply = world.http().Send(
          fiber, world.vm("front-2").settings.internal_address,
          {"POST",
           kStoragePath + it.disk,
           {{kRelayHeader, "1"}},
           Encode(request)});
      BOOST_TEST(reply.status == 200);
      copies += DecodeStorageReply(reply.body).ids.size();
    }
    BOOST_TEST(copies >= 2U);
    const auto unknown =
        world.http().Send(fiber, world.vm("front-2").settings.internal_address,
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
