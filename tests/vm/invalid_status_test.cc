// Answers of servers whose status is none of HTTP, or one without a body.

#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "vm/raw_client.h"
#include "vm/received_answers.h"

namespace comfreyfold {
namespace {

using standins::RawServer;

// The rest of an answer after its status, id and signature.
struct Rest {
  const char* name;
  std::string bytes;
};

std::vector<Rest> Rests() {
  return {
      {"length", "Content-Length: 4\r\n\r\ntext"},
      {"empty", "Content-Length: 0\r\n\r\n"},
      {"chunks", "Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n"},
      {"no length", "\r\n"},
  };
}

std::string AnswerOf(const std::string& status,
                     const std::string& id,
                     const std::string& rest) {
  return "HTTP/1.1 " + status + " X\r\nRequest-Id: " + id +
         "\r\nResponse-Signature: s\r\n" + rest;
}

// A server that answers probes, and each other request with `status`.
class FailingServer {
 public:
  explicit FailingServer(std::string status) : status_(std::move(status)) {}

  void Serve(RawServer::Peer& peer) {
    for (auto head = peer.ReadHead(); !head.empty(); head = peer.ReadHead()) {
      const auto id = RequestIdOf(head);
      if (id.rfind("probe", 0) == 0) {
        peer.Write(Answer(id, ""));
        continue;
      }
      ++sent_[id];
      peer.Write(AnswerOf(status_, id, rest_));
      if (rest_ == "\r\n") {
        peer.Write("text");
        return;
      }
      used_again_ = used_again_ || !peer.ReadHead().empty();
      return;
    }
  }

  void SetRest(std::string rest) { rest_ = std::move(rest); }
  int sent(const std::string& id) { return sent_[id]; }
  // Whether a connection carried a request after an answer with `status`.
  bool used_again() const { return used_again_; }

 private:
  std::string status_;
  std::string rest_;
  std::map<std::string, int> sent_;
  bool used_again_ = false;
};

// Sends requests of all kinds to a server that answers `status`.
void ExpectNotPassedOn(const std::string& status,
                       const std::vector<Rest>& rests) {
  FailingServer server(status);
  WithRawServer(
      [&server](Fiber&, RawServer::Peer& peer) { server.Serve(peer); },
      [&](Fiber& fiber, VmDeployment& deployment,
          const VmDeployment::Vm& front) {
        int number = 0;
        for (const auto& rest : rests) {
          for (const std::string path :
               {"/plain/x", "/once/x", "/stream/x", "/talk/stream/x"}) {
            BOOST_TEST_CONTEXT(status << " " << rest.name << " " << path) {
              server.SetRest(rest.bytes);
              Probe(fiber, deployment, front);
              const auto id = "r" + std::to_string(++number);
              const auto reply = Receive(fiber, deployment, front, path, id);
              BOOST_TEST(reply.status == 502);
              BOOST_TEST(reply.complete);
              BOOST_TEST(server.sent(id) >= 1);
              if (path == "/once/x" || path == "/talk/stream/x") {
                BOOST_TEST(server.sent(id) == 1);
              }
            }
          }
        }
      });
  BOOST_TEST(!server.used_again());
}

// Sends requests to a server that answers 000 and one that is sound.
void ExpectTriedElsewhere(const std::string& path) {
  FailingServer failing("000");
  failing.SetRest("Content-Length: 4\r\n\r\ntext");
  std::map<std::string, int> runs;
  WithRawServer(
      [&failing](Fiber&, RawServer::Peer& peer) { failing.Serve(peer); },
      [&](Fiber& fiber, VmDeployment& deployment,
          const VmDeployment::Vm& front) {
        RawServer sound(
            deployment.loop(), [&runs](Fiber&, RawServer::Peer& peer) {
              for (auto head = peer.ReadHead(); !head.empty();
                   head = peer.ReadHead()) {
                const auto id = RequestIdOf(head);
                ++runs[id];
                const bool stream = head.find("/stream/") != std::string::npos;
                peer.Write(CompleteAnswer(stream ? "/stream/x" : "/", id));
              }
            });
        deployment.store().Put("servers/sound",
                               nlohmann::json{{"service", "app"},
                                              {"address", sound.address()},
                                              {"zone", "north"},
                                              {"slots", 8},
                                              {"state", "ready"}}
                                   .dump());
        // So many at once that both servers get some.
        constexpr int kRequests = 12;
        const auto send = [&](const std::string& path,
                              const std::string& prefix) {
          std::map<std::string, Received> replies;
          for (int n = 0; n < kRequests; ++n) {
            fiber.loop().Spawn([&, id = prefix + std::to_string(n)](Fiber& it) {
              auto reply = Receive(it, deployment, front, path, id);
              replies[id] = std::move(reply);
            });
          }
          BOOST_REQUIRE(deployment.WaitFor(
              fiber, [&] { return replies.size() == kRequests; }));
          return replies;
        };
        BOOST_REQUIRE(deployment.WaitFor(fiber, [&] {
          send("/plain/x", "probe");
          return !runs.empty();
        }));
        int used = 0;
        for (int round = 0; round < 20 && used == 0; ++round) {
          send("/plain/x", "probe");
          for (const auto& [id, reply] :
               send(path, "r" + std::to_string(round) + "-")) {
            used += failing.sent(id);
            const bool lost = path == "/once/x" && failing.sent(id) > 0;
            BOOST_TEST(reply.status == (lost ? 502 : 200));
            BOOST_TEST(reply.complete);
            BOOST_TEST(runs[id] == (lost ? 0 : 1));
          }
        }
        BOOST_TEST(used > 0);
      });
}

BOOST_AUTO_TEST_SUITE(invalid_status)

BOOST_AUTO_TEST_CASE(answer_with_invalid_status_000_is_not_passed_on) {
  ExpectNotPassedOn("000", Rests());
}

BOOST_AUTO_TEST_CASE(answer_with_invalid_status_099_is_not_passed_on) {
  ExpectNotPassedOn("099", Rests());
}

BOOST_AUTO_TEST_CASE(answer_with_invalid_status_600_is_not_passed_on) {
  ExpectNotPassedOn("600", Rests());
}

BOOST_AUTO_TEST_CASE(answer_with_invalid_status_700_is_not_passed_on) {
  ExpectNotPassedOn("700", Rests());
}

BOOST_AUTO_TEST_CASE(answer_with_invalid_status_999_is_not_passed_on) {
  ExpectNotPassedOn("999", Rests());
}

// It was taken for a refusal, and the request was sent once more.
BOOST_AUTO_TEST_CASE(refusal_with_invalid_status_refuses_nothing) {
  const std::string refusal = "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  for (const auto* status : {"000", "099", "600", "700", "999"}) {
    ExpectNotPassedOn(status, {{"not executed", refusal}});
  }
}

BOOST_AUTO_TEST_CASE(invalid_status_leaves_safe_request_to_another_server) {
  for (const std::string path : {"/plain/x", "/stream/x", "/once/x"}) {
    BOOST_TEST_CONTEXT(path) {
      ExpectTriedElsewhere(path);
    }
  }
}

// Nothing asks for another protocol.
BOOST_AUTO_TEST_CASE(interim_replies_alone_are_no_answer) {
  for (const std::string status : {"100", "101", "199"}) {
    WithRawServer(
        [&status](Fiber&, RawServer::Peer& peer) {
          for (auto head = peer.ReadHead(); !head.empty();
               head = peer.ReadHead()) {
            const auto id = RequestIdOf(head);
            if (id == "probe") {
              peer.Write(Answer(id, ""));
              continue;
            }
            peer.Write(AnswerOf(status, id, "Content-Length: 4\r\n\r\ntext"));
            return;
          }
        },
        [&status](Fiber& fiber, VmDeployment& deployment,
                  const VmDeployment::Vm& front) {
          for (const std::string path :
               {"/plain/x", "/once/x", "/stream/x", "/talk/stream/x"}) {
            BOOST_TEST_CONTEXT(status << path) {
              Probe(fiber, deployment, front);
              BOOST_TEST(
                  Receive(fiber, deployment, front, path, "r" + path.substr(1))
                      .status == 502);
            }
          }
        });
  }
}

// Statuses without a body, with bytes in its place; the client keeps its
// connection and sends a second request there.
BOOST_AUTO_TEST_CASE(status_without_body_leaves_no_bytes_to_the_client) {
  const std::vector<Rest> rests = {
      {"length", "Content-Length: 4\r\n\r\ntext"},
      {"chunks", "Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n"},
      {"no length", "\r\n"},
  };
  std::string status;
  std::string bytes;
  WithRawServer(
      [&](Fiber&, RawServer::Peer& peer) {
        for (auto head = peer.ReadHead(); !head.empty();
             head = peer.ReadHead()) {
          const auto id = RequestIdOf(head);
          peer.Write(id == "r1" ? AnswerOf(status, id, bytes)
                                : Answer(id, "answer to " + id));
        }
      },
      [&](Fiber& fiber, VmDeployment& deployment,
          const VmDeployment::Vm& front) {
        for (const auto* it : {"204", "304"}) {
          status = it;
          for (const auto& rest : rests) {
            bytes = rest.bytes;
            for (const std::string path :
                 {"/plain/x", "/once/x", "/stream/x", "/talk/stream/x"}) {
              BOOST_TEST_CONTEXT(status << " " << rest.name << " " << path) {
                Probe(fiber, deployment, front);
                RawClient client(fiber, deployment, front);
                const std::string headers =
                    " HTTP/1.1\r\nHost: shop\r\nRequest-Deadline-Ms: 3000\r\n";
                client.Write("POST " + path + headers +
                             "Request-Id: r1\r\nContent-Length: 0\r\n\r\n" +
                             "POST /plain/x" + headers +
                             "Request-Id: r2\r\nConnection: close\r\n"
                             "Content-Length: 0\r\n\r\n");
                const auto received = client.ReadToEnd();
                const auto end = received.find("\r\n\r\n");
                BOOST_REQUIRE(end != std::string::npos);
                BOOST_TEST(received.substr(0, 12) == "HTTP/1.1 " + status);
                BOOST_TEST(received.substr(end + 4, 12) == "HTTP/1.1 200");
                BOOST_TEST(received.find("text") == std::string::npos);
              }
            }
          }
        }
      });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
