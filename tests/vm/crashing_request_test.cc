// Requests that crash the servers which run them.

#include <algorithm>
#include <cstdlib>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "vm/vm_deployment.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr const char* kCrashingBody = "crash";
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
// Crashes from which it is known what a request does, and runs that may
// follow while the daemons tell each other.
constexpr int kCrashesToTell = 3;
constexpr int kRunsAfter = 3;

// A deployment whose servers crash when they run a request with kCrashingBody.
class CrashingServers {
 public:
  CrashingServers(VmDeployment& deployment, int count)
      : deployment_(deployment) {
    for (int n = 1; n <= count; ++n) {
      Add();
    }
  }

  void Add(milliseconds work = {}) {
    const auto id = "crashing-" + std::to_string(ids_.size() + 1);
    ids_.push_back(id);
    auto& server = deployment_.AddServer(id, work);
    server.service->CrashOn(kCrashingBody,
                            [&http = *server.http] { http.Drain(); });
  }

  standins::PlatformServer& newest() {
    return *deployment_.server(ids_.back()).service;
  }

  int crashed() const {
    return static_cast<int>(
        std::count_if(ids_.begin(), ids_.end(), [this](const auto& it) {
          return deployment_.server(it).service->crashed();
        }));
  }

 private:
  VmDeployment& deployment_;
  std::vector<std::string> ids_;
};

HttpReply SendCrashing(Fiber& fiber,
                       VmDeployment& deployment,
                       const VmDeployment::Vm& front,
                       const std::string& path = "/once/x") {
  static int number = 0;
  return deployment.Send(
      fiber, front,
      {path, "crashing-" + std::to_string(++number), kCrashingBody, {}});
}

bool Serves(Fiber& fiber,
            VmDeployment& deployment,
            const VmDeployment::Vm& front) {
  static int number = 0;
  return deployment
             .Send(fiber, front,
                   {"/plain/x", "other-" + std::to_string(++number), "", {}})
             .status == 200;
}

// Sends the crashing request by both fronts in turn until both refuse it.
void SendUntilRefused(Fiber& fiber, VmDeployment& deployment) {
  std::set<std::string> refused_by;
  BOOST_TEST(deployment.WaitFor(fiber, [&] {
    for (const auto* name : {"front-1", "front-2"}) {
      if (SendCrashing(fiber, deployment, deployment.vm(name)).status ==
          kUnavailable) {
        refused_by.insert(name);
      }
    }
    return refused_by.size() == 2;
  }));
}

void SendUntilCrashed(Fiber& fiber,
                      VmDeployment& deployment,
                      const standins::PlatformServer& server) {
  BOOST_TEST(deployment.WaitFor(fiber, [&] {
    SendCrashing(fiber, deployment, deployment.vm("front-1"));
    return server.crashed();
  }));
}

BOOST_AUTO_TEST_SUITE(crashing_request)

BOOST_AUTO_TEST_CASE(request_that_crashes_servers_is_refused_after_the_third) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    CrashingServers servers(deployment, 12);
    deployment.StartAll(fiber, 2);
    SendUntilRefused(fiber, deployment);
    const auto crashed = servers.crashed();
    BOOST_TEST(crashed >= kCrashesToTell);
    BOOST_TEST(crashed <= kCrashesToTell + kRunsAfter);
    for (const auto* name : {"front-1", "front-2"}) {
      const auto& front = deployment.vm(name);
      const auto reply = SendCrashing(fiber, deployment, front);
      BOOST_TEST(reply.status == kUnavailable);
      BOOST_TEST(std::atof(reply.Header("Retry-After").c_str()) > 1);
      BOOST_TEST(Serves(fiber, deployment, front));
    }
    BOOST_TEST(servers.crashed() == crashed);
  });
}

BOOST_AUTO_TEST_CASE(
    crashing_request_that_may_be_repeated_stops_after_the_third) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    CrashingServers servers(deployment, 12);
    deployment.StartAll(fiber, 2);
    const auto& front = deployment.vm("front-1");
    BOOST_TEST(deployment.WaitFor(fiber, [&] {
      return SendCrashing(fiber, deployment, front, "/stream/x").status ==
             kUnavailable;
    }));
    BOOST_TEST(servers.crashed() <= kCrashesToTell + kRunsAfter);
  });
}

// Clients that keep the conversation themselves send it before each new turn.
BOOST_AUTO_TEST_CASE(crashing_request_behind_other_conversations_is_refused) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    CrashingServers servers(deployment, 12);
    deployment.StartAll(fiber, 2);
    const std::vector<std::string> fronts{"front-1", "front-2"};
    int number = 0;
    const auto send = [&] {
      const auto id = "conversation-" + std::to_string(++number);
      return deployment
          .Send(fiber, deployment.vm(fronts[number % fronts.size()]),
                {"/once/crashing", id, id + kCrashingBody, {}})
          .status;
    };
    int refused = 0;
    BOOST_TEST(deployment.WaitFor(fiber, [&] {
      refused = send() == kUnavailable ? refused + 1 : 0;
      return refused == 4;
    }));
    BOOST_TEST(servers.crashed() >= kCrashesToTell);
    BOOST_TEST(servers.crashed() <= kCrashesToTell + kRunsAfter);
    // An attempt may be refused after four of the servers that have crashed.
    for (const auto& it : fronts) {
      BOOST_TEST(deployment.WaitFor(
          fiber, [&] { return Serves(fiber, deployment, deployment.vm(it)); }));
    }
  });
}

BOOST_AUTO_TEST_CASE(request_with_target_of_answered_ones_is_served) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    CrashingServers servers(deployment, 12);
    deployment.StartAll(fiber);
    const auto& front = deployment.vm("front-1");
    int number = 0;
    const auto send = [&](const std::string& body) {
      const auto id = "request-" + std::to_string(++number);
      return deployment.Send(fiber, front, {"/once/x", id, id + body, {}})
          .status;
    };
    BOOST_REQUIRE(
        deployment.WaitFor(fiber, [&] { return send("sound") == 200; }));
    for (int n = 1; n <= 2 * kCrashesToTell; ++n) {
      BOOST_TEST(send(kCrashingBody) == kBadGateway);
      BOOST_TEST(
          deployment.WaitFor(fiber, [&] { return send("sound") == 200; }));
    }
  });
}

BOOST_AUTO_TEST_CASE(restarted_daemons_still_refuse_crashing_request) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    CrashingServers servers(deployment, 12);
    deployment.StartAll(fiber, 2);
    SendUntilRefused(fiber, deployment);
    const auto crashed = servers.crashed();
    for (const auto* name :
         {"front-1", "front-2", "disk-1", "disk-2", "disk-3"}) {
      deployment.StopVm(fiber, deployment.vm(name));
    }
    for (const auto* name :
         {"disk-1", "disk-2", "disk-3", "front-1", "front-2"}) {
      deployment.RestartVm(deployment.vm(name));
    }
    const auto& front = deployment.vm("front-1");
    BOOST_REQUIRE(deployment.WaitFor(
        fiber, [&] { return deployment.IsReady(fiber, front); }));
    BOOST_TEST(SendCrashing(fiber, deployment, front).status == kUnavailable);
    BOOST_TEST(servers.crashed() == crashed);
    BOOST_TEST(deployment.WaitFor(
        fiber, [&] { return Serves(fiber, deployment, front); }));
  });
}

BOOST_AUTO_TEST_CASE(request_that_ran_beside_crashing_one_is_served) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    CrashingServers servers(deployment, 0);
    deployment.StartAll(fiber);
    const auto& front = deployment.vm("front-1");
    // Twice both requests run at the only server.
    for (int n = 1; n <= 2; ++n) {
      servers.Add(milliseconds(20000));
      auto& server = servers.newest();
      bool ended = false;
      fiber.loop().Spawn([&](Fiber& child) {
        const auto id = "beside-" + std::to_string(n);
        deployment.WaitFor(child, [&] {
          return deployment.Send(child, front, {"/once/y", id, "beside", {}})
                     .status != kUnavailable;
        });
        ended = true;
      });
      BOOST_REQUIRE(
          deployment.WaitFor(fiber, [&] { return server.runs().size() == 1; }));
      SendUntilCrashed(fiber, deployment, server);
      BOOST_REQUIRE(deployment.WaitFor(fiber, [&] { return ended; }));
    }
    servers.Add();
    SendUntilCrashed(fiber, deployment, servers.newest());
    servers.Add();
    BOOST_TEST(deployment.WaitFor(
        fiber, [&] { return Serves(fiber, deployment, front); }));
    BOOST_TEST(
        deployment.Send(fiber, front, {"/once/y", "beside-3", "beside", {}})
            .status == 200);
    BOOST_TEST(SendCrashing(fiber, deployment, front).status == kUnavailable);
    BOOST_TEST(!servers.newest().crashed());
  });
}

BOOST_AUTO_TEST_CASE(request_whose_answers_were_lost_is_served) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    auto& server = deployment.AddServer("app-1");
    deployment.StartAll(fiber);
    const auto& front = deployment.vm("front-1");
    const auto send = [&](const std::string& id) {
      return deployment.Send(fiber, front, {"/once/x", id, "same", {}}).status;
    };
    BOOST_REQUIRE(deployment.WaitFor(
        fiber, [&] { return Serves(fiber, deployment, front); }));
    auto& faults = server.service->faults();
    faults.Set("lost_answer", 2 * kCrashesToTell);
    int sent = 0;
    BOOST_TEST(deployment.WaitFor(
        fiber, [&] { return send(std::to_string(++sent)) == 200; }));
    BOOST_TEST(faults.triggered().at("lost_answer") == 2 * kCrashesToTell);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
