// Requests of clients through one daemon to backend servers that misbehave.

#include <boost/test/unit_test.hpp>

#include "vm/vm_world.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

using Body = std::function<void(Fiber&, VmWorld&, const VmWorld::Vm&)>;

// Three disks, one daemon for clients, and the server "s1".
void WithOneServer(const Body& body, milliseconds work = {}) {
  InVmWorld([&](Fiber& fiber, VmWorld& world) {
    world.StartAll(fiber);
    world.AddServer("s1");
    const auto& front = world.vm("front-1");
    BOOST_REQUIRE(world.WaitFor(fiber, [&] {
      return world.Send(fiber, front, {"/plain/x", "probe", "", {}}).status ==
             200;
    }));
    world.server("s1").service->SetWork(work);
    body(fiber, world, front);
  });
}

BOOST_AUTO_TEST_SUITE(calls)

BOOST_AUTO_TEST_CASE(an_answer_passes_whole_with_its_signature) {
  WithOneServer([](Fiber& fiber, VmWorld& world, const VmWorld::Vm& front) {
    const auto reply = world.Send(
        fiber, front, {"/once/x", "r1", std::string(50000, 'b'), {}});
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(reply.Header("Response-Signature") == "signed-r1");
    BOOST_TEST(reply.body == "answer to " + std::string(50000, 'b'));
  });
}

BOOST_AUTO_TEST_CASE(headers_of_the_system_come_from_the_system_alone) {
  WithOneServer([](Fiber& fiber, VmWorld& world, const VmWorld::Vm& front) {
    world.Send(fiber, front,
               {"/once/x",
                "r1",
                "",
                {{"Hold", "h"},
                 {"Pin-Ms", "9"},
                 {"Kv-From", "1"},
                 {"Expect-Instance", "other"},
                 {"Connection", "X-Private"},
                 {"X-Private", "p"},
                 {"X-Own", "o"}}});
    const auto& run = world.server("s1").service->runs().back().request;
    for (const auto* name : {"Hold", "Pin-Ms", "Kv-From", "X-Private"}) {
      BOOST_TEST(run.Header(name).empty(), name);
    }
    BOOST_TEST(run.Header("X-Own") == "o");
    BOOST_TEST(run.Header("Expect-Instance") == "s1");
    BOOST_TEST(std::stoi(run.Header("Request-Deadline-Ms")) <= 4000);
  });
}

BOOST_AUTO_TEST_CASE(what_must_not_repeat_is_not_repeated) {
  WithOneServer([](Fiber& fiber, VmWorld& world, const VmWorld::Vm& front) {
    world.AddServer("s2");
    for (const auto* id : {"s1", "s2"}) {
      world.server(id).service->faults().Set("lost_answer", -1);
    }
    const auto reply = world.Send(fiber, front, {"/once/x", "r1", "", {}});
    BOOST_TEST(reply.status == 502);
    BOOST_TEST(world.server("s1").service->RunsOf("r1") +
                   world.server("s2").service->RunsOf("r1") ==
               1);
  });
}

BOOST_AUTO_TEST_CASE(what_may_repeat_is_tried_at_another_server) {
  WithOneServer([](Fiber& fiber, VmWorld& world, const VmWorld::Vm& front) {
    world.server("s1").service->faults().Set("lost_answer", -1);
    world.AddServer("s2");
    BOOST_TEST(world.WaitFor(fiber, [&] {
      return world.Send(fiber, front, {"/plain/x", "r1", "", {}}).status == 200;
    }));
    BOOST_TEST(world.server("s2").service->RunsOf("r1") >= 1);
  });
}

BOOST_AUTO_TEST_CASE(a_refusal_says_truly_that_nothing_ran) {
  WithOneServer([](Fiber& fiber, VmWorld& world, const VmWorld::Vm& front) {
    world.server("s1").service->faults().Set("refuse", -1);
    const auto reply = world.Send(fiber, front, {"/once/x", "r1", "", {}});
    BOOST_TEST(reply.status == 503);
    BOOST_TEST(!reply.Header("Retry-After").empty());
    BOOST_TEST(world.server("s1").service->RunsOf("r1") == 0);
  });
}

BOOST_AUTO_TEST_CASE(an_answer_to_another_request_is_passed_over) {
  WithOneServer([](Fiber& fiber, VmWorld& world, const VmWorld::Vm& front) {
    world.server("s1").service->faults().Set("stranger", 1);
    const auto reply = world.Send(fiber, front, {"/once/x", "r1", "mine", {}});
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(reply.body == "answer to mine");
  });
}

BOOST_AUTO_TEST_CASE(an_answer_without_signature_is_no_success) {
  WithOneServer([](Fiber& fiber, VmWorld& world, const VmWorld::Vm& front) {
    world.server("s1").service->faults().Set("unsigned", 1);
    const auto reply = world.Send(fiber, front, {"/once/x", "r1", "", {}});
    BOOST_TEST(reply.status == 502);
    BOOST_TEST(world.server("s1").service->RunsOf("r1") == 1);
  });
}

BOOST_AUTO_TEST_CASE(a_cut_stream_never_looks_whole) {
  WithOneServer([](Fiber& fiber, VmWorld& world, const VmWorld::Vm& front) {
    world.server("s1").service->faults().Set("cut", 1);
    const auto reply =
        world.Send(fiber, front, {"/talk/stream/x", "r1", "", {}});
    BOOST_TEST(reply.status == 0);
    BOOST_TEST(world.server("s1").service->RunsOf("r1") == 1);
  });
}

BOOST_AUTO_TEST_CASE(a_resumable_stream_goes_on_where_it_was_cut) {
  WithOneServer([](Fiber& fiber, VmWorld& world, const VmWorld::Vm& front) {
    world.server("s1").service->faults().Set("cut", 1);
    const auto reply = world.Send(fiber, front, {"/stream/x", "r1", "", {}});
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(reply.body ==
               "id: 1\ndata: event-1\n\nid: 2\ndata: event-2\n\n"
               "id: 3\ndata: event-3\n\nid: 4\ndata: event-4\n\n");
  });
}

BOOST_AUTO_TEST_CASE(a_request_out_of_time_is_told_at_once) {
  WithOneServer(
      [](Fiber& fiber, VmWorld& world, const VmWorld::Vm& front) {
        VmWorld::Ask ask{"/once/x", "r1", "", {}};
        ask.time = milliseconds(200);
        const auto start = std::chrono::steady_clock::now();
        const auto reply = world.Send(fiber, front, ask);
        BOOST_TEST(reply.status == 504);
        // The slow server would take five times as long.
        BOOST_TEST(
            (std::chrono::steady_clock::now() - start < milliseconds(1000)));
      },
      milliseconds(1000));
}

BOOST_AUTO_TEST_CASE(a_client_that_leaves_frees_its_server) {
  WithOneServer(
      [](Fiber& fiber, VmWorld& world, const VmWorld::Vm& front) {
        HttpOptions options;
        options.idle_timeout = milliseconds(150);
        try {
          world.http().Send(
              fiber, front.settings.client_address,
              {"POST", "/once/x", {{"Host", "shop"}, {"Request-Id", "r1"}}, ""},
              options);
        } catch (const HttpFailure&) {
          // The client gives up.
        }
        const auto& service = *world.server("s1").service;
        BOOST_TEST(world.WaitFor(
            fiber, [&] { return service.runs().back().client_left; }));
      },
      milliseconds(5000));
}

BOOST_AUTO_TEST_CASE(unknown_routes_and_bad_headers_are_refused) {
  WithOneServer([](Fiber& fiber, VmWorld& world, const VmWorld::Vm& front) {
    BOOST_TEST(world.Send(fiber, front, {"/nowhere/", "r1", "", {}}).status ==
               404);
    BOOST_TEST(world
                   .Send(fiber, front,
                         {"/once/x", "r2", "", {{"Token-Budget", "many"}}})
                   .status == 400);
    BOOST_TEST(
        world
            .Send(fiber, front, {"/once/x", "r3", std::string(200000, 'b'), {}})
            .status == 413);
  });
}

BOOST_AUTO_TEST_CASE(a_leaving_server_gets_no_new_request) {
  WithOneServer([](Fiber& fiber, VmWorld& world, const VmWorld::Vm& front) {
    world.AddServer("s2");
    BOOST_TEST(world.WaitFor(fiber, [&] {
      world.Send(fiber, front, {"/plain/x", "warm", "", {}});
      return world.server("s2").service->RunsOf("warm") > 0 ||
             world.server("s1").service->RunsOf("warm") > 0;
    }));
    world.Register("s1", "draining");
    // Bound of the deployment: two seconds.
    fiber.Sleep(front.settings.server_drain_time);
    const auto before = world.server("s1").service->runs().size();
    for (int n = 0; n < 20; ++n) {
      world.Send(fiber, front,
                 {"/plain/x", "after-" + std::to_string(n), "", {}});
    }
    BOOST_TEST(world.server("s1").service->runs().size() == before);
  });
}

BOOST_AUTO_TEST_CASE(entries_that_nobody_can_read_hide_no_other) {
  WithOneServer([](Fiber& fiber, VmWorld& world, const VmWorld::Vm& front) {
    world.store().Put("servers/bad-1", "\x01 not json");
    world.store().Put("servers/bad-2", R"({"service":7,"address":"1:1"})");
    world.store().Put("servers/bad-3",
                      R"({"service":"app","address":"127.0.0.1:1",)"
                      R"("zone":"north","slots":8,"state":"odd"})");
    fiber.Sleep(front.settings.server_drain_time);
    for (int n = 0; n < 10; ++n) {
      BOOST_TEST(
          world.Send(fiber, front, {"/once/x", "r" + std::to_string(n), "", {}})
              .status == 200);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
