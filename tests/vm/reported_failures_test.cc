// Failures that operators of similar systems have reported.

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "storage/disk_log.h"
#include "vm/raw_answers.h"
#include "vm/raw_client.h"
#include "wire/storage_messages.h"

namespace comfreyfold {
namespace {

using standins::RawServer;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(reported_failures)

// A second copy of an answer arrived after the connection was in use again.
BOOST_AUTO_TEST_CASE(second_copy_of_answer_reaches_no_other_caller) {
  WithRawServer(
      [](Fiber& fiber, RawServer::Peer& peer) {
        std::string last;
        for (auto head = peer.ReadHead(); !head.empty();
             head = peer.ReadHead()) {
          const auto id = RequestIdOf(head);
          if (!last.empty()) {
            peer.Write(Answer(last, "answer to " + last));
            fiber.Sleep(milliseconds(20));
          }
          peer.Write(Answer(id, "answer to " + id));
          last = id;
        }
      },
      [](Fiber& fiber, VmDeployment& deployment,
         const VmDeployment::Vm& front) {
        for (int n = 0; n < 10; ++n) {
          const auto id = "r" + std::to_string(n);
          const auto reply =
              deployment.Send(fiber, front, {"/once/x", id, "", {}});
          BOOST_TEST(reply.status == 200);
          BOOST_TEST(reply.body == "answer to " + id);
        }
      });
}

// The copy of a refusal bears the id of the request that is sent to the same
// server once more. If it counted as the answer to the second attempt, a third
// one would run what the second has run.
BOOST_AUTO_TEST_CASE(second_copy_of_refusal_does_not_refuse_next_attempt) {
  std::map<std::string, int> runs;
  std::map<std::string, int> attempts;
  WithRawServer(
      [&](Fiber& fiber, RawServer::Peer& peer) {
        std::string refused;
        for (auto head = peer.ReadHead(); !head.empty();
             head = peer.ReadHead()) {
          const auto id = RequestIdOf(head);
          if (++attempts[id] == 1 && id != "probe") {
            peer.Write(Refusal(id));
            refused = id;
            continue;
          }
          ++runs[id];
          if (!refused.empty()) {
            peer.Write(Refusal(refused));
            fiber.Sleep(milliseconds(20));
          }
          peer.Write(Answer(id, "answer to " + id));
        }
      },
      [&](Fiber& fiber, VmDeployment& deployment,
          const VmDeployment::Vm& front) {
        const auto reply =
            deployment.Send(fiber, front, {"/once/x", "r1", "", {}});
        BOOST_TEST(reply.status == 200);
        BOOST_TEST(runs["r1"] == 1);
      });
}

// Requests that had just been accepted when the daemon closed its sockets were
// cut off.
BOOST_AUTO_TEST_CASE(planned_stop_under_load_answers_what_it_accepted) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    constexpr int kClients = 24;
    deployment.StartAll(fiber);
    deployment.AddServer("s1", milliseconds(5));
    auto& front = deployment.vm("front-1");
    BOOST_REQUIRE(deployment.WaitFor(fiber, [&] {
      return deployment.Send(fiber, front, {"/plain/x", "r", "", {}}).status ==
             200;
    }));
    int running = kClients;
    int answered = 0;
    int cut = 0;
    for (int n = 0; n < kClients; ++n) {
      deployment.loop().Spawn([&, n](Fiber& child) {
        HttpOptions options;
        options.fresh_connection = true;
        for (bool open = true; open;) {
          try {
            const auto reply = deployment.http().Send(
                child, front.settings.client_address,
                {"POST",
                 "/plain/x",
                 {{"Host", "shop"}, {"Request-Id", "c" + std::to_string(n)}},
                 ""},
                options);
            reply.status == 200 || reply.status == 503 ? ++answered : ++cut;
          } catch (const HttpFailure& e) {
            // Refused connections are those of a daemon that has stopped.
            open = false;
            cut += e.sent() ? 1 : 0;
          }
        }
        --running;
      });
    }
    fiber.Sleep(milliseconds(100));
    deployment.StopVm(fiber, front);
    BOOST_TEST(deployment.WaitFor(fiber, [&] { return running == 0; }));
    BOOST_TEST(answered > kClients);
    BOOST_TEST(cut == 0);
  });
}

// The last bytes of the request arrive after the daemon has stopped to accept
// connections.
BOOST_AUTO_TEST_CASE(planned_stop_answers_request_that_is_being_received) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    deployment.StartAll(fiber);
    deployment.AddServer("s1");
    auto& front = deployment.vm("front-1");
    BOOST_REQUIRE(deployment.WaitFor(fiber, [&] {
      return deployment.Send(fiber, front, {"/plain/x", "r", "", {}}).status ==
             200;
    }));
    RawClient client(fiber, deployment, front);
    client.Write(
        "POST /plain/x HTTP/1.1\r\nHost: shop\r\nRequest-Id: late\r\n");
    bool stopped = false;
    front.daemon->Stop([&stopped] { stopped = true; });
    // New connections are refused once the daemon has stopped to accept them.
    BOOST_TEST(deployment.WaitFor(fiber, [&] {
      return deployment.Send(fiber, front, {"/plain/x", "r", "", {}}).status ==
             0;
    }));
    client.Write("Content-Length: 2\r\n\r\nok");
    const auto reply = client.ReadToEnd();
    BOOST_TEST(reply.substr(0, 12) == "HTTP/1.1 200");
    BOOST_TEST(reply.find("answer to ok") != std::string::npos);
    BOOST_TEST(deployment.WaitFor(fiber, [&stopped] { return stopped; }));
  });
}

BOOST_AUTO_TEST_CASE(slow_but_sound_stream_is_not_cut) {
  constexpr int kEvents = 8;
  WithRawServer(
      [](Fiber& fiber, RawServer::Peer& peer) {
        for (auto head = peer.ReadHead(); !head.empty();
             head = peer.ReadHead()) {
          const auto id = RequestIdOf(head);
          if (id == "probe") {
            peer.Write(Answer(id, ""));
            continue;
          }
          peer.Write(SignedHead(id, "Transfer-Encoding: chunked\r\n\r\n"));
          for (int n = 1; n <= kEvents; ++n) {
            // Longer than the pause between events that the route allows.
            fiber.Sleep(milliseconds(350));
            peer.Write("f\r\nid: " + std::to_string(n) + "\ndata: e\n\n\r\n");
          }
          peer.Write("0\r\n\r\n");
        }
      },
      [](Fiber& fiber, VmDeployment& deployment,
         const VmDeployment::Vm& front) {
        const auto reply =
            deployment.Send(fiber, front, {"/talk/stream/x", "r1", "", {}});
        BOOST_TEST(reply.status == 200);
        BOOST_TEST(reply.body.find("id: 8") != std::string::npos);
      });
}

// A daemon that was paused must not send a request whose client has left or
// whose time is over.
BOOST_AUTO_TEST_CASE(cancelled_request_is_not_written_to_kept_connection) {
  int heads = 0;
  WithRawServer(
      [&heads](Fiber&, RawServer::Peer& peer) {
        for (auto head = peer.ReadHead(); !head.empty();
             head = peer.ReadHead()) {
          ++heads;
          peer.Write(Answer(RequestIdOf(head), "x"));
        }
      },
      [&heads](Fiber& fiber, VmDeployment& deployment,
               const VmDeployment::Vm&) {
        const auto entry =
            nlohmann::json::parse(deployment.store().Value("servers/raw"));
        const auto address = entry.at("address").get<std::string>();
        const HttpRequest request{"GET", "/x", {{"Request-Id", "a"}}, ""};
        deployment.http().Send(fiber, address, request);
        const auto before = heads;
        HttpOptions options;
        options.cancelled = [] { return true; };
        bool sent = true;
        try {
          deployment.http().Send(fiber, address, request, options);
        } catch (const HttpFailure& e) {
          sent = e.sent();
        }
        BOOST_TEST(!sent);
        fiber.Sleep(milliseconds(50));
        BOOST_TEST(heads == before);
      });
}

// A restarted disk that has forgotten the newest list would count towards a
// quorum of members that no longer decide, beside those that do.
BOOST_AUTO_TEST_CASE(disk_keeps_every_list_that_it_acts_on) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    deployment.StartAll(fiber);
    deployment.AddVm("disk-4", true, false);
    BOOST_REQUIRE(deployment.WaitFor(
        fiber, [&] { return deployment.StorageMemberCount() == 4; }));
    const auto current =
        DecodeStorageList(deployment.store().Value(kStorageListKey));
    for (const auto* name : {"disk-1", "disk-2", "disk-3", "disk-4"}) {
      const auto path = deployment.vm(name).settings.data_folder + "/members";
      BOOST_TEST(deployment.WaitFor(fiber, [&] {
        const auto text = ReadWholeFile(path);
        return !text.empty() &&
               DecodeStorageList(text).version == current.version;
      }));
    }
  });
}

// A server that does not report for a while keeps the requests that it runs.
BOOST_AUTO_TEST_CASE(running_request_stays_at_server_whose_entry_lapsed) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    deployment.StartAll(fiber);
    deployment.AddServer("s1");
    const auto& front = deployment.vm("front-1");
    BOOST_REQUIRE(deployment.WaitFor(fiber, [&] {
      return deployment.Send(fiber, front, {"/plain/x", "probe", "", {}})
                 .status == 200;
    }));
    deployment.server("s1").service->SetWorkTime(milliseconds(2500));
    HttpReply reply;
    bool ended = false;
    deployment.loop().Spawn([&](Fiber& child) {
      reply = deployment.Send(child, front, {"/stream/x", "r1", "", {}});
      ended = true;
    });
    fiber.Sleep(milliseconds(100));
    deployment.AddServer("s2");
    deployment.store().Delete("servers/s1");
    BOOST_TEST(deployment.WaitFor(fiber, [&] { return ended; }));
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(deployment.server("s1").service->RunsOf("r1") == 1);
    BOOST_TEST(deployment.server("s2").service->RunsOf("r1") == 0);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
