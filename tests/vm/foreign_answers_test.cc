// Refusals of earlier requests that a faulty server writes once more.

#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "vm/received_answers.h"

namespace comfreyfold {
namespace {

using standins::RawServer;
using std::chrono::milliseconds;

// A server that refuses the request "r0", so that each of its connections has
// carried a refusal, and writes that refusal once more before the answer to the
// next request on the connection.
struct RepeatedRefusal {
  std::string path;
  std::string copy;
  bool closes = false;  // After the copy.

  Received Run() {
    Received out;
    WithRawServer(
        [this](Fiber& fiber, RawServer::Peer& peer) { Serve(fiber, peer); },
        [&](Fiber& fiber, VmDeployment& deployment,
            const VmDeployment::Vm& front) {
          refusing = true;
          BOOST_TEST(Receive(fiber, deployment, front, path, "r0").status ==
                     503);
          out = Receive(fiber, deployment, front, path, "r1");
          next = Receive(fiber, deployment, front, path, "r2");
        });
    return out;
  }

  void Serve(Fiber& fiber, RawServer::Peer& peer) {
    const int number = ++connections;
    bool refused = false;
    for (auto head = peer.ReadHead(); !head.empty(); head = peer.ReadHead()) {
      const auto id = RequestIdOf(head);
      if (id == "probe") {
        peer.Write(Answer(id, ""));
        if (!refusing) {
          continue;
        }
      }
      if (id == "r0") {
        refused = true;
        peer.Write(Refusal(id));
        continue;
      }
      ++runs[id];
      connection_of[id] = number;
      if (refused && id == "r1") {
        ++copies;
        peer.Write(copy);
        if (closes) {
          return;
        }
        // The daemon reads the copy for itself.
        fiber.Sleep(milliseconds(20));
      }
      peer.Write(CompleteAnswer(path, id));
    }
  }

  bool refusing = false;
  int connections = 0;
  int copies = 0;
  Received next;
  std::map<std::string, int> runs;
  std::map<std::string, int> connection_of;
};

BOOST_AUTO_TEST_SUITE(foreign_answers)

BOOST_AUTO_TEST_CASE(refusal_of_another_request_is_not_the_answer) {
  for (const auto* path : {"/once/x", "/talk/stream/x", "/plain/x"}) {
    BOOST_TEST_CONTEXT(path) {
      RepeatedRefusal server{path, Refusal("r0")};
      const auto reply = server.Run();
      BOOST_TEST(server.copies == 1);
      BOOST_TEST(reply.status == 200);
      BOOST_TEST(reply.complete);
      BOOST_TEST(server.runs["r1"] == 1);
      BOOST_TEST(server.next.status == 200);
    }
  }
}

// It was taken for a refusal of the present request, which ran once more.
BOOST_AUTO_TEST_CASE(refusal_without_id_does_not_refuse_a_later_request) {
  for (const auto* path : {"/once/x", "/talk/stream/x"}) {
    BOOST_TEST_CONTEXT(path) {
      RepeatedRefusal server{path, RefusalWithoutId()};
      const auto reply = server.Run();
      BOOST_TEST(server.copies == 1);
      BOOST_TEST(reply.status == 200);
      BOOST_TEST(reply.complete);
      BOOST_TEST(server.runs["r1"] == 1);
      BOOST_TEST(server.next.status == 200);
      BOOST_TEST(server.connection_of["r2"] != server.connection_of["r1"]);
    }
  }
}

BOOST_AUTO_TEST_CASE(refusal_without_id_leaves_repeatable_request_to_retries) {
  for (const auto* path : {"/plain/x", "/stream/x"}) {
    BOOST_TEST_CONTEXT(path) {
      RepeatedRefusal server{path, RefusalWithoutId()};
      const auto reply = server.Run();
      BOOST_TEST(server.copies == 1);
      BOOST_TEST(reply.status == 200);
      BOOST_TEST(reply.complete);
      BOOST_TEST(server.runs["r1"] <= 2);
      BOOST_TEST(server.next.status == 200);
    }
  }
}

BOOST_AUTO_TEST_CASE(refusal_without_id_that_ends_a_used_connection) {
  for (const auto* more : {"", "Connection: close\r\n"}) {
    RepeatedRefusal server{"/once/x", RefusalWithoutId(more), true};
    const auto reply = server.Run();
    BOOST_TEST(server.copies == 1);
    BOOST_TEST(reply.status == 502);
    BOOST_TEST(server.runs["r1"] == 1);
  }
}

// Nothing else was sent on these connections, so it is a true refusal.
BOOST_AUTO_TEST_CASE(refusal_without_id_on_new_connection_is_a_refusal) {
  int heads = 0;
  WithRawServer(
      [&heads](Fiber&, RawServer::Peer& peer) {
        for (auto head = peer.ReadHead(); !head.empty();
             head = peer.ReadHead()) {
          const auto id = RequestIdOf(head);
          if (id == "probe") {
            peer.Write(Answer(id, ""));
            return;
          }
          ++heads;
          peer.Write(RefusalWithoutId());
        }
      },
      [&heads](Fiber& fiber, VmDeployment& deployment,
               const VmDeployment::Vm& front) {
        const auto reply =
            deployment.Send(fiber, front, {"/once/x", "r1", "", {}});
        BOOST_TEST(reply.status == 503);
        BOOST_TEST(!reply.Header("Retry-After").empty());
        BOOST_TEST(heads > 1);
      });
}

// The copy arrives right behind the refusal, or while the connection is idle.
BOOST_AUTO_TEST_CASE(copy_of_refusal_on_idle_connection_refuses_nothing) {
  struct Copy {
    bool same_packet;
    std::string bytes;
  };
  std::vector<Copy> copies;
  for (const bool same_packet : {true, false}) {
    for (const auto* it : {"refused", "next"}) {
      copies.push_back({same_packet, Refusal(it)});
    }
    copies.push_back({same_packet, RefusalWithoutId()});
  }
  std::size_t current = 0;
  std::map<std::string, int> runs;
  std::vector<int> written(copies.size());
  WithRawServer(
      [&](Fiber& fiber, RawServer::Peer& peer) {
        for (auto head = peer.ReadHead(); !head.empty();
             head = peer.ReadHead()) {
          const auto id = RequestIdOf(head);
          const auto& copy = copies[current];
          if (id != "refused") {
            ++runs[id];
            peer.Write(Answer(id, "answer to " + id));
            continue;
          }
          ++written[current];
          if (copy.same_packet) {
            peer.Write(Refusal(id) + copy.bytes);
          } else {
            peer.Write(Refusal(id));
            fiber.Sleep(milliseconds(10));
            peer.Write(copy.bytes);
          }
        }
      },
      [&](Fiber& fiber, VmDeployment& deployment,
          const VmDeployment::Vm& front) {
        for (current = 0; current < copies.size(); ++current) {
          BOOST_TEST_CONTEXT(copies[current].same_packet
                             << copies[current].bytes) {
            BOOST_TEST(Receive(fiber, deployment, front, "/once/x", "refused")
                           .status == 503);
            fiber.Sleep(milliseconds(50));
            runs.clear();
            const auto reply =
                Receive(fiber, deployment, front, "/once/x", "next");
            BOOST_TEST(reply.status == 200);
            BOOST_TEST(reply.body == "answer to next");
            BOOST_TEST(runs["next"] == 1);
            BOOST_TEST(written[current] > 0);
          }
        }
      });
}

// Two registered ids have one address. The copy bears the id of the request,
// which the second attempt sends to the same process.
BOOST_AUTO_TEST_CASE(copy_of_refusal_does_not_refuse_attempt_at_same_address) {
  std::map<std::string, int> runs;
  std::map<std::string, int> attempts;
  std::string address;
  WithRawServer(
      [&](Fiber& fiber, RawServer::Peer& peer) {
        std::string refused;
        for (auto head = peer.ReadHead(); !head.empty();
             head = peer.ReadHead()) {
          const auto id = RequestIdOf(head);
          if (++attempts[id] == 1 && id != "probe") {
            refused = id;
            peer.Write(Refusal(id));
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
        deployment.store().Put("servers/raw2",
                               deployment.store().Value("servers/raw"));
        fiber.Sleep(milliseconds(300));
        for (int n = 0; n < 6; ++n) {
          const auto id = "r" + std::to_string(n);
          BOOST_TEST(Receive(fiber, deployment, front, "/once/x", id).status ==
                     200);
          BOOST_TEST(runs[id] == 1);
        }
      });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
