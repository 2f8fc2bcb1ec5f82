// Streams while servers of several software versions serve side by side.

#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "vm/turn_requests.h"

namespace comfreyfold {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kStreams = 6;

const std::vector<std::string> kServers = {"old-1", "old-2", "new-1", "new-2",
                                           "new-3"};

bool IsOld(const std::string& server) {
  return server.rfind("old", 0) == 0;
}

void SetFaults(VmDeployment& deployment,
               const std::vector<std::string>& servers,
               const char* fault,
               bool faulty) {
  for (const auto& id : servers) {
    deployment.server(id).service->faults().Set(fault, faulty ? -1 : 0);
  }
}

// Waits until the daemon uses the server.
void AwaitServer(Fiber& fiber,
                 VmDeployment& deployment,
                 const char* front,
                 const std::string& server) {
  SetFaults(deployment, kServers, "refuse", true);
  SetFaults(deployment, {server}, "refuse", false);
  BOOST_REQUIRE(deployment.WaitFor(fiber, [&] {
    return deployment
               .Send(fiber, deployment.vm(front), {"/plain/x", "probe", "", {}})
               .status == kOk;
  }));
  SetFaults(deployment, kServers, "refuse", false);
}

// Runs `body` in a deployment with two servers of version "v1" and three of
// "v2".
void WithTwoVersions(const TestBody& body) {
  RunWithDeployment([&](Fiber& fiber, VmDeployment& deployment) {
    deployment.StartAll(fiber, 2);
    for (const auto& id : kServers) {
      deployment.AddServer(id, {}, IsOld(id) ? "v1" : "v2");
    }
    for (const auto* front : {"front-1", "front-2"}) {
      for (const auto& id : kServers) {
        AwaitServer(fiber, deployment, front, id);
      }
    }
    body(fiber, deployment);
  });
}

// Versions of the servers that ran the request.
std::set<std::string> VersionsOf(VmDeployment& deployment,
                                 const std::string& request) {
  std::set<std::string> out;
  for (const auto& id : kServers) {
    if (deployment.server(id).service->RunsOf(request) > 0) {
      out.insert(deployment.server(id).version);
    }
  }
  return out;
}

// A stream of a program with a budget, or of neither.
VmDeployment::ClientRequest Stream(const std::string& id, bool has_program) {
  VmDeployment::ClientRequest out{"/stream/x", id, "body of " + id, {}};
  if (has_program) {
    out.headers = {{"Program-Id", "program of " + id.substr(0, id.find('+'))},
                   {"Token-Budget", "1000"},
                   {"Token-Usage", "10,16"}};
  }
  return out;
}

VmDeployment::ClientRequest Resumed(const std::string& id,
                                    const std::string& first,
                                    bool has_program) {
  auto out = Stream(id, has_program);
  out.headers.push_back({"Last-Event-Id", "2"});
  if (!first.empty()) {
    out.headers.push_back({"Resumes", first});
  }
  return out;
}

// Begins a stream at each version, which breaks off, and returns their ids.
std::vector<std::string> BeginStreams(Fiber& fiber,
                                      VmDeployment& deployment,
                                      bool has_program) {
  std::vector<std::string> out;
  SetFaults(deployment, kServers, "cut", true);
  for (const bool old : {true, false}) {
    for (const auto& id : kServers) {
      SetFaults(deployment, {id}, "refuse", IsOld(id) != old);
    }
    out.push_back(old ? "r1" : "r2");
    BOOST_TEST(deployment
                   .Send(fiber, deployment.vm("front-1"),
                         Stream(out.back(), has_program))
                   .status == 0);
  }
  SetFaults(deployment, kServers, "refuse", false);
  SetFaults(deployment, kServers, "cut", false);
  BOOST_TEST((VersionsOf(deployment, "r1") == std::set<std::string>{"v1"}));
  BOOST_TEST((VersionsOf(deployment, "r2") == std::set<std::string>{"v2"}));
  return out;
}

void RestartFronts(Fiber& fiber, VmDeployment& deployment) {
  for (const auto* front : {"front-1", "front-2"}) {
    auto& vm = deployment.vm(front);
    deployment.StopVm(fiber, vm);
    deployment.RestartVm(vm);
    BOOST_REQUIRE(deployment.WaitFor(
        fiber, [&] { return deployment.IsReady(fiber, vm); }));
  }
}

std::string ReasonOf(const HttpReply& reply) {
  const auto body = nlohmann::json::parse(reply.body, nullptr, false);
  return body.is_object() ? body["error"].value("code", "") : "";
}

BOOST_AUTO_TEST_SUITE(stream_versions)

BOOST_AUTO_TEST_CASE(stream_never_goes_on_at_another_version_in_one_answer) {
  WithTwoVersions([](Fiber& fiber, VmDeployment& deployment) {
    for (int n = 0; n < 3; ++n) {
      const auto id = "r" + std::to_string(n);
      for (const auto& server : kServers) {
        deployment.server(server).service->faults().Set("cut", 1);
      }
      deployment.Send(fiber, deployment.vm("front-1"), Stream(id, true));
      BOOST_TEST(VersionsOf(deployment, id).size() == 1U, id);
    }
  });
}

BOOST_AUTO_TEST_CASE(resumed_stream_goes_on_at_its_version_after_restarts) {
  for (const bool has_program : {true, false}) {
    WithTwoVersions([has_program](Fiber& fiber, VmDeployment& deployment) {
      const auto streams = BeginStreams(fiber, deployment, has_program);
      RestartFronts(fiber, deployment);
      for (const auto& id : streams) {
        const auto reply = deployment.Send(fiber, deployment.vm("front-2"),
                                           Resumed(id + "+2", id, has_program));
        BOOST_TEST(reply.status == kOk, ReasonOf(reply));
        BOOST_TEST(
            (VersionsOf(deployment, id + "+2") == VersionsOf(deployment, id)),
            id);
      }
    });
  }
}

BOOST_AUTO_TEST_CASE(third_attempt_names_the_first_and_goes_on_at_its_version) {
  WithTwoVersions([](Fiber& fiber, VmDeployment& deployment) {
    for (const auto& id : BeginStreams(fiber, deployment, true)) {
      SetFaults(deployment, kServers, "cut", true);
      deployment.Send(fiber, deployment.vm("front-2"),
                      Resumed(id + "+2", id, true));
      SetFaults(deployment, kServers, "cut", false);
      const auto reply = deployment.Send(fiber, deployment.vm("front-2"),
                                         Resumed(id + "+3", id, true));
      BOOST_TEST(reply.status == kOk);
      BOOST_TEST(
          (VersionsOf(deployment, id + "+3") == VersionsOf(deployment, id)));
    }
  });
}

BOOST_AUTO_TEST_CASE(stream_whose_version_is_gone_is_refused_as_not_run) {
  WithTwoVersions([](Fiber& fiber, VmDeployment& deployment) {
    BeginStreams(fiber, deployment, true);
    const std::vector<std::string> leaving = {"new-1", "new-2", "new-3"};
    SetFaults(deployment, leaving, "refuse", true);
    for (const auto& id : leaving) {
      deployment.store().Delete("servers/" + id);
    }
    BOOST_TEST(deployment.WaitFor(fiber, [&] {
      const auto reply = deployment.Send(fiber, deployment.vm("front-2"),
                                         Resumed("r2+2", "r2", true));
      return reply.status == kUnavailable && ReasonOf(reply) == "version_gone";
    }));
    BOOST_TEST(VersionsOf(deployment, "r2+2").empty());
    BOOST_TEST(
        deployment
            .Send(fiber, deployment.vm("front-2"), Resumed("r1+2", "r1", true))
            .status == kOk);
  });
}

// The daemon called streams gone whose servers it could not know.
BOOST_AUTO_TEST_CASE(old_list_of_servers_does_not_prove_a_version_gone) {
  WithTwoVersions([](Fiber& fiber, VmDeployment& deployment) {
    BeginStreams(fiber, deployment, true);
    const std::vector<std::string> leaving = {"new-1", "new-2", "new-3"};
    SetFaults(deployment, leaving, "refuse", true);
    for (const auto& id : leaving) {
      deployment.store().Delete("servers/" + id);
    }
    HttpReply reply;
    const auto is_refused_as = [&](const char* reason) {
      reply = deployment.Send(fiber, deployment.vm("front-2"),
                              Resumed("r2+2", "r2", true));
      return ReasonOf(reply) == reason;
    };
    BOOST_TEST(deployment.WaitFor(
        fiber, [&] { return is_refused_as("version_gone"); }));
    deployment.store().faults().Set("out", -1);
    BOOST_TEST(deployment.WaitFor(
        fiber, [&] { return is_refused_as("version_unread"); }));
    BOOST_TEST(reply.status == kUnavailable);
    BOOST_TEST(!reply.Header("Retry-After").empty());
    BOOST_TEST(VersionsOf(deployment, "r2+2").empty());
    deployment.store().faults().Set("out", 0);
  });
}

BOOST_AUTO_TEST_CASE(stream_does_not_go_on_at_an_unregistered_process) {
  WithTwoVersions([](Fiber& fiber, VmDeployment& deployment) {
    BeginStreams(fiber, deployment, true);
    for (const auto& id : kServers) {
      deployment.server(id).service->SetStarted(
          std::chrono::milliseconds(IsOld(id) ? 1 : 2));
    }
    const auto reply = deployment.Send(fiber, deployment.vm("front-2"),
                                       Resumed("r2+2", "r2", true));
    BOOST_TEST(reply.status == kUnavailable);
    BOOST_TEST(VersionsOf(deployment, "r2+2").empty());
    BOOST_TEST(
        deployment
            .Send(fiber, deployment.vm("front-2"), Resumed("r1+2", "r1", true))
            .status == kOk);
  });
}

// A daemon whose registrations were old recorded the version that the server
// had before its restart.
BOOST_AUTO_TEST_CASE(stream_does_not_begin_at_an_unregistered_process) {
  for (const bool has_program : {true, false}) {
    WithTwoVersions([has_program](Fiber& fiber, VmDeployment& deployment) {
      for (const auto& id : kServers) {
        deployment.server(id).service->SetStarted(
            std::chrono::milliseconds(IsOld(id) ? 1 : 2));
      }
      for (int n = 0; n < kStreams; ++n) {
        const auto id = "r" + std::to_string(n);
        BOOST_TEST(deployment.WaitFor(fiber, [&] {
          return deployment
                     .Send(fiber, deployment.vm("front-1"),
                           Stream(id, has_program))
                     .status == kOk;
        }));
        BOOST_TEST((VersionsOf(deployment, id) == std::set<std::string>{"v1"}));
      }
    });
  }
}

BOOST_AUTO_TEST_CASE(process_is_checked_once_for_a_kept_connection) {
  WithTwoVersions([](Fiber& fiber, VmDeployment& deployment) {
    for (const auto& id : kServers) {
      deployment.server(id).service->SetStarted(std::chrono::milliseconds(1));
    }
    for (int n = 0; n < 2 * kStreams; ++n) {
      const auto id = "r" + std::to_string(n);
      BOOST_TEST(
          deployment.Send(fiber, deployment.vm("front-1"), Stream(id, true))
              .status == kOk);
    }
    int checks = 0;
    for (const auto& id : kServers) {
      checks += deployment.server(id).service->state_requests();
    }
    BOOST_TEST(checks > 0);
    BOOST_TEST(checks <= static_cast<int>(kServers.size()));
  });
}

// The time limit of the check ended the exchange that followed it.
BOOST_AUTO_TEST_CASE(slow_event_after_the_check_of_the_process_is_waited_for) {
  WithTwoVersions([](Fiber& fiber, VmDeployment& deployment) {
    BeginStreams(fiber, deployment, true);
    for (const auto& id : kServers) {
      deployment.server(id).service->SetStarted(std::chrono::milliseconds(1));
      deployment.server(id).service->SetStateTime(
          std::chrono::milliseconds(100));
      deployment.server(id).service->SetWorkTime(
          std::chrono::milliseconds(1000));
    }
    BOOST_TEST(
        deployment
            .Send(fiber, deployment.vm("front-2"), Resumed("r1+2", "r1", true))
            .status == kOk);
    BOOST_TEST(VersionsOf(deployment, "r1+2").size() == 1U);
  });
}

BOOST_AUTO_TEST_CASE(stream_of_unknown_version_is_refused_as_not_run) {
  for (const bool has_program : {true, false}) {
    WithTwoVersions([has_program](Fiber& fiber, VmDeployment& deployment) {
      const auto reply = deployment.Send(fiber, deployment.vm("front-1"),
                                         Resumed("r1", "r0", has_program));
      BOOST_TEST(reply.status == kUnavailable);
      BOOST_TEST(ReasonOf(reply) == "version_unknown");
      BOOST_TEST(VersionsOf(deployment, "r1").empty());
    });
  }
}

BOOST_AUTO_TEST_CASE(client_that_names_no_attempt_is_served) {
  WithTwoVersions([](Fiber& fiber, VmDeployment& deployment) {
    const auto reply = deployment.Send(fiber, deployment.vm("front-1"),
                                       Resumed("r1", "", true));
    BOOST_TEST(reply.status == kOk);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
