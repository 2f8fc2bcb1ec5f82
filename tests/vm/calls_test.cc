// Client requests through one daemon to backend servers that fail in various
// ways.

#include <boost/test/unit_test.hpp>

#include "vm/vm_deployment.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

using TestBody =
    std::function<void(Fiber&, VmDeployment&, const VmDeployment::Vm&)>;

// Runs `body` in a deployment of three storage VMs, one VM that serves clients,
// and the server "s1".
void WithOneServer(const TestBody& body, milliseconds work = {}) {
  RunWithDeployment([&](Fiber& fiber, VmDeployment& deployment) {
    deployment.StartAll(fiber);
    deployment.AddServer("s1");
    const auto& front = deployment.vm("front-1");
    BOOST_REQUIRE(deployment.WaitFor(fiber, [&] {
      return deployment.Send(fiber, front, {"/plain/x", "probe", "", {}})
                 .status == 200;
    }));
    deployment.server("s1").service->SetWorkTime(work);
    body(fiber, deployment, front);
  });
}

BOOST_AUTO_TEST_SUITE(calls)

BOOST_AUTO_TEST_CASE(answer_reaches_client_complete_and_signed) {
  WithOneServer([](Fiber& fiber, VmDeployment& deployment,
                   const VmDeployment::Vm& front) {
    const auto reply = deployment.Send(
        fiber, front, {"/once/x", "r1", std::string(50000, 'b'), {}});
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(reply.Header("Response-Signature") == "signed-r1");
    BOOST_TEST(reply.body == "answer to " + std::string(50000, 'b'));
  });
}

BOOST_AUTO_TEST_CASE(reserved_headers_of_clients_are_removed) {
  WithOneServer([](Fiber& fiber, VmDeployment& deployment,
                   const VmDeployment::Vm& front) {
    deployment.Send(fiber, front,
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
    const auto& run = deployment.server("s1").service->runs().back().request;
    for (const auto* name : {"Hold", "Pin-Ms", "Kv-From", "X-Private"}) {
      BOOST_TEST(run.Header(name).empty(), name);
    }
    BOOST_TEST(run.Header("X-Own") == "o");
    BOOST_TEST(run.Header("Expect-Instance") == "s1");
    BOOST_TEST(std::stoi(run.Header("Request-Deadline-Ms")) <= 4000);
  });
}

BOOST_AUTO_TEST_CASE(unsafe_request_is_not_retried_after_lost_answer) {
  WithOneServer([](Fiber& fiber, VmDeployment& deployment,
                   const VmDeployment::Vm& front) {
    deployment.AddServer("s2");
    for (const auto* id : {"s1", "s2"}) {
      deployment.server(id).service->faults().Set("lost_answer", -1);
    }
    const auto reply = deployment.Send(fiber, front, {"/once/x", "r1", "", {}});
    BOOST_TEST(reply.status == 502);
    BOOST_TEST(deployment.server("s1").service->RunsOf("r1") +
                   deployment.server("s2").service->RunsOf("r1") ==
               1);
  });
}

BOOST_AUTO_TEST_CASE(safe_request_is_retried_on_another_server) {
  WithOneServer([](Fiber& fiber, VmDeployment& deployment,
                   const VmDeployment::Vm& front) {
    deployment.server("s1").service->faults().Set("lost_answer", -1);
    deployment.AddServer("s2");
    BOOST_TEST(deployment.WaitFor(fiber, [&] {
      return deployment.Send(fiber, front, {"/plain/x", "r1", "", {}}).status ==
             200;
    }));
    BOOST_TEST(deployment.server("s2").service->RunsOf("r1") >= 1);
  });
}

BOOST_AUTO_TEST_CASE(refused_request_has_not_run) {
  WithOneServer([](Fiber& fiber, VmDeployment& deployment,
                   const VmDeployment::Vm& front) {
    deployment.server("s1").service->faults().Set("refuse", -1);
    const auto reply = deployment.Send(fiber, front, {"/once/x", "r1", "", {}});
    BOOST_TEST(reply.status == 503);
    BOOST_TEST(!reply.Header("Retry-After").empty());
    BOOST_TEST(deployment.server("s1").service->RunsOf("r1") == 0);
  });
}

BOOST_AUTO_TEST_CASE(answer_to_another_request_is_discarded) {
  WithOneServer([](Fiber& fiber, VmDeployment& deployment,
                   const VmDeployment::Vm& front) {
    deployment.server("s1").service->faults().Set("stranger", 1);
    const auto reply =
        deployment.Send(fiber, front, {"/once/x", "r1", "mine", {}});
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(reply.body == "answer to mine");
  });
}

BOOST_AUTO_TEST_CASE(unsigned_answer_is_an_error) {
  WithOneServer([](Fiber& fiber, VmDeployment& deployment,
                   const VmDeployment::Vm& front) {
    deployment.server("s1").service->faults().Set("unsigned", 1);
    const auto reply = deployment.Send(fiber, front, {"/once/x", "r1", "", {}});
    BOOST_TEST(reply.status == 502);
    BOOST_TEST(deployment.server("s1").service->RunsOf("r1") == 1);
  });
}

BOOST_AUTO_TEST_CASE(broken_stream_is_aborted_at_client) {
  WithOneServer([](Fiber& fiber, VmDeployment& deployment,
                   const VmDeployment::Vm& front) {
    deployment.server("s1").service->faults().Set("cut", 1);
    const auto reply =
        deployment.Send(fiber, front, {"/talk/stream/x", "r1", "", {}});
    BOOST_TEST(reply.status == 0);
    BOOST_TEST(deployment.server("s1").service->RunsOf("r1") == 1);
  });
}

BOOST_AUTO_TEST_CASE(resumable_stream_continues_after_break) {
  WithOneServer([](Fiber& fiber, VmDeployment& deployment,
                   const VmDeployment::Vm& front) {
    deployment.server("s1").service->faults().Set("cut", 1);
    const auto reply =
        deployment.Send(fiber, front, {"/stream/x", "r1", "", {}});
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(reply.body ==
               "id: 1\ndata: event-1\n\nid: 2\ndata: event-2\n\n"
               "id: 3\ndata: event-3\n\nid: 4\ndata: event-4\n\n");
  });
}

BOOST_AUTO_TEST_CASE(request_fails_at_its_deadline) {
  WithOneServer(
      [](Fiber& fiber, VmDeployment& deployment,
         const VmDeployment::Vm& front) {
        VmDeployment::ClientRequest client_request{"/once/x", "r1", "", {}};
        client_request.time_limit = milliseconds(200);
        const auto start = std::chrono::steady_clock::now();
        const auto reply = deployment.Send(fiber, front, client_request);
        BOOST_TEST(reply.status == 504);
        // The server works for 1 s, five times the time limit of the request.
        BOOST_TEST(
            (std::chrono::steady_clock::now() - start < milliseconds(1000)));
      },
      milliseconds(1000));
}

BOOST_AUTO_TEST_CASE(client_disconnect_cancels_server_request) {
  WithOneServer(
      [](Fiber& fiber, VmDeployment& deployment,
         const VmDeployment::Vm& front) {
        HttpOptions options;
        options.idle_timeout = milliseconds(150);
        try {
          deployment.http().Send(
              fiber, front.settings.client_address,
              {"POST", "/once/x", {{"Host", "shop"}, {"Request-Id", "r1"}}, ""},
              options);
        } catch (const HttpFailure&) {
          // Expected: the client times out and closes its connection.
        }
        const auto& service = *deployment.server("s1").service;
        BOOST_TEST(deployment.WaitFor(
            fiber, [&] { return service.runs().back().client_disconnected; }));
      },
      milliseconds(5000));
}

BOOST_AUTO_TEST_CASE(invalid_requests_are_rejected) {
  WithOneServer([](Fiber& fiber, VmDeployment& deployment,
                   const VmDeployment::Vm& front) {
    BOOST_TEST(
        deployment.Send(fiber, front, {"/nowhere/", "r1", "", {}}).status ==
        404);
    BOOST_TEST(deployment
                   .Send(fiber, front,
                         {"/once/x", "r2", "", {{"Token-Budget", "many"}}})
                   .status == 400);
    BOOST_TEST(
        deployment
            .Send(fiber, front, {"/once/x", "r3", std::string(200000, 'b'), {}})
            .status == 413);
  });
}

BOOST_AUTO_TEST_CASE(draining_server_gets_no_new_requests) {
  WithOneServer([](Fiber& fiber, VmDeployment& deployment,
                   const VmDeployment::Vm& front) {
    deployment.AddServer("s2");
    BOOST_TEST(deployment.WaitFor(fiber, [&] {
      deployment.Send(fiber, front, {"/plain/x", "warm", "", {}});
      return deployment.server("s2").service->RunsOf("warm") > 0 ||
             deployment.server("s1").service->RunsOf("warm") > 0;
    }));
    deployment.RegisterServer("s1", "draining");
    // The deployment requires that a draining server is avoided within this
    // time.
    fiber.Sleep(front.settings.server_drain_time);
    const auto before = deployment.server("s1").service->runs().size();
    for (int n = 0; n < 20; ++n) {
      deployment.Send(fiber, front,
                      {"/plain/x", "after-" + std::to_string(n), "", {}});
    }
    BOOST_TEST(deployment.server("s1").service->runs().size() == before);
  });
}

BOOST_AUTO_TEST_CASE(invalid_registrations_do_not_affect_others) {
  WithOneServer([](Fiber& fiber, VmDeployment& deployment,
                   const VmDeployment::Vm& front) {
    deployment.store().Put("servers/bad-1", "\x01 not json");
    deployment.store().Put("servers/bad-2", R"({"service":7,"address":"1:1"})");
    deployment.store().Put("servers/bad-3",
                           R"({"service":"app","address":"127.0.0.1:1",)"
                           R"("zone":"north","slots":8,"state":"odd"})");
    fiber.Sleep(front.settings.server_drain_time);
    for (int n = 0; n < 10; ++n) {
      BOOST_TEST(
          deployment
              .Send(fiber, front, {"/once/x", "r" + std::to_string(n), "", {}})
              .status == 200);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
