#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "vm/vm_deployment.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr int kFronts = 3;
constexpr milliseconds kWindow{4000};
// What the platform allows a server to get within kWindow.
int MostAllowed(double per_second) {
  return static_cast<int>(1.5 * 4 * per_second + 5);
}

// Clients of all front daemons that send one request after the other.
struct Clients {
  explicit Clients(VmDeployment& deployment_of_clients)
      : deployment(deployment_of_clients) {}

  // Starts `count` clients at each front daemon. Each sends a request, and
  // pauses after it.
  void Start(int count, milliseconds pause) {
    for (int n = 0; n < kFronts * count; ++n) {
      ++running;
      deployment.loop().Spawn([this, n, pause](Fiber& fiber) {
        Send(fiber, "front-" + std::to_string(n % kFronts + 1), n, pause);
      });
    }
  }
  void Stop(Fiber& fiber) {
    stopped = true;
    deployment.WaitFor(fiber, [this] { return running == 0; });
  }

  void Send(Fiber& fiber, const std::string& front, int n, milliseconds pause) {
    while (!stopped) {
      const auto reply = deployment.Send(
          fiber, deployment.vm(front),
          {"/plain/x",
           "r-" + std::to_string(n) + "-" + std::to_string(sent++),
           "",
           {},
           milliseconds(1500)});
      ++statuses[reply.status];
      if (reply.status == 503) {
        retry_after_named += reply.Header("Retry-After").empty() ? 0 : 1;
      }
      fiber.Sleep(pause);
    }
    --running;
  }

  VmDeployment& deployment;
  std::map<int, int> statuses;
  int retry_after_named = 0;
  int sent = 0;
  int running = 0;
  bool stopped = false;
};

void RunWithClients(
    const std::function<void(Fiber&, VmDeployment&, Clients&)>& body) {
  RunWithDeployment([&body](Fiber& fiber, VmDeployment& deployment) {
    deployment.StartAll(fiber, kFronts);
    deployment.AddServer("app-1");
    deployment.AddServer("app-2");
    for (int n = 1; n <= kFronts; ++n) {
      const auto& vm = deployment.vm("front-" + std::to_string(n));
      BOOST_REQUIRE(deployment.WaitFor(fiber, [&] {
        return deployment.Send(fiber, vm, {"/plain/x", "probe", "", {}})
                   .status == 200;
      }));
    }
    Clients clients(deployment);
    body(fiber, deployment, clients);
    clients.Stop(fiber);
  });
}

BOOST_AUTO_TEST_SUITE(server_limits)

BOOST_AUTO_TEST_CASE(all_daemons_together_keep_to_the_limit_of_a_server) {
  RunWithClients([](Fiber& fiber, VmDeployment& deployment, Clients& clients) {
    auto& limited = *deployment.server("app-1").service;
    limited.SetLimit("2");
    clients.Start(3, milliseconds(20));
    fiber.Sleep(milliseconds(1000));
    const auto since = std::chrono::steady_clock::now();
    fiber.Sleep(milliseconds(5000));
    clients.Stop(fiber);
    BOOST_TEST(limited.MostRunsWithin(kWindow, since) <= MostAllowed(2));
    BOOST_TEST(limited.RunsSince(since) > 0);
    // The other server takes the rest.
    BOOST_TEST(clients.statuses[200] == clients.sent);
  });
}

BOOST_AUTO_TEST_CASE(requests_beyond_the_limits_of_all_servers_are_refused) {
  RunWithClients([](Fiber& fiber, VmDeployment& deployment, Clients& clients) {
    for (const auto* it : {"app-1", "app-2"}) {
      deployment.server(it).service->SetLimit("4.5");
    }
    clients.Start(3, milliseconds(20));
    fiber.Sleep(milliseconds(1000));
    const auto since = std::chrono::steady_clock::now();
    fiber.Sleep(milliseconds(5000));
    clients.Stop(fiber);
    for (const auto* it : {"app-1", "app-2"}) {
      const auto& server = *deployment.server(it).service;
      BOOST_TEST(server.MostRunsWithin(kWindow, since) <= MostAllowed(4.5));
      BOOST_TEST(server.RunsSince(since) >= 0.7 * 4.5 * 5);
    }
    BOOST_TEST(clients.statuses[200] + clients.statuses[503] == clients.sent);
    BOOST_TEST(clients.statuses[503] > 0);
    BOOST_TEST(clients.retry_after_named == clients.statuses[503]);
  });
}

BOOST_AUTO_TEST_CASE(limit_ends_when_answers_do_not_name_it_any_more) {
  RunWithClients([](Fiber& fiber, VmDeployment& deployment, Clients& clients) {
    for (const auto* it : {"app-1", "app-2"}) {
      deployment.server(it).service->SetLimit("0");
    }
    clients.Start(2, milliseconds(20));
    fiber.Sleep(milliseconds(1500));
    for (const auto* it : {"app-1", "app-2"}) {
      deployment.server(it).service->SetLimit("");
    }
    const auto since = std::chrono::steady_clock::now();
    const auto& server = *deployment.server("app-1").service;
    BOOST_TEST(deployment.WaitFor(
        fiber, [&] { return server.RunsSince(since) > MostAllowed(4); }));
  });
}

BOOST_AUTO_TEST_CASE(limit_that_cannot_be_read_limits_nothing) {
  RunWithClients([](Fiber& fiber, VmDeployment& deployment, Clients& clients) {
    deployment.server("app-1").service->SetLimit("nan");
    deployment.server("app-2").service->SetLimit("-3");
    clients.Start(2, milliseconds(5));
    const auto since = std::chrono::steady_clock::now();
    const auto& server = *deployment.server("app-1").service;
    BOOST_TEST(deployment.WaitFor(
        fiber, [&] { return server.RunsSince(since) > MostAllowed(4); }));
    clients.Stop(fiber);
    BOOST_TEST(clients.statuses[200] == clients.sent);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
