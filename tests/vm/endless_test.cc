// Backend servers whose answers do not end: the request fails in time, little
// of the answer is kept in memory, and the next request is answered.

#include <boost/test/unit_test.hpp>

#include "vm/raw_answers.h"

namespace comfreyfold {
namespace {

using standins::RawServer;
using std::chrono::milliseconds;

constexpr milliseconds kTimeLimit{700};
// For the answer to travel back, and for the coroutines of the test.
constexpr milliseconds kSlack{500};
// What a daemon may read of one answer: the largest answer that it holds, and
// what the sockets' buffers take.
constexpr std::uint64_t kMaxTakenBytes = 24ULL * 1024 * 1024;

// Writes `head` and then `piece` until the client closes the connection.
std::function<void(Fiber&, RawServer::Peer&)> Endless(const std::string& head,
                                                      const std::string& piece,
                                                      milliseconds pause = {}) {
  return [=](Fiber& fiber, RawServer::Peer& peer) {
    const auto request = peer.ReadHead();
    const auto at = request.find("Request-Id: ");
    if (at == std::string::npos || !peer.Write(head)) {
      return;
    }
    while (peer.Write(piece)) {
      fiber.Sleep(pause);
    }
  };
}

// Sends one request to a server that runs `serve`, and expects that it ends
// without success within its time limit, that little is read, and that the next
// request is answered by the other server.
void ExpectBounded(const std::string& path,
                   std::function<void(Fiber&, RawServer::Peer&)> serve) {
  RunWithDeployment([&](Fiber& fiber, VmDeployment& deployment) {
    deployment.StartAll(fiber);
    auto& loop = deployment.loop();
    auto* server = new RawServer(loop, std::move(serve));
    RegisterRawServer(deployment, server->address());
    const auto& front = deployment.vm("front-1");
    BOOST_REQUIRE(deployment.WaitFor(
        fiber, [&] { return deployment.IsReady(fiber, front); }));
    VmDeployment::ClientRequest request{path, "r1", "", {}};
    request.time_limit = kTimeLimit;
    // Until the server is known, requests are refused at once.
    HttpReply reply;
    auto start = std::chrono::steady_clock::now();
    BOOST_REQUIRE(deployment.WaitFor(fiber, [&] {
      start = std::chrono::steady_clock::now();
      reply = deployment.Send(fiber, front, request);
      return server->connections() > 0;
    }));
    BOOST_TEST(
        (std::chrono::steady_clock::now() - start < kTimeLimit + kSlack));
    BOOST_TEST(reply.status != 200);
    BOOST_TEST(server->written() < kMaxTakenBytes);
    deployment.AddServer("s1");
    BOOST_TEST(deployment.WaitFor(fiber, [&] {
      return deployment.Send(fiber, front, {"/once/x", "r2", "next", {}})
                 .body == "answer to next";
    }));
  });
}

const std::string kPiece(16UL * 1024, 'x');
const std::string kChunk = "4000\r\n" + kPiece + "\r\n";

BOOST_AUTO_TEST_SUITE(endless)

BOOST_AUTO_TEST_CASE(status_line_and_headers) {
  ExpectBounded("/once/x", Endless("HTTP/1.1 200 OK\r\nX: ", kPiece));
  ExpectBounded("/once/x",
                Endless("HTTP/1.1 200 OK\r\n", "A: b\r\n", milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(bytes_that_are_not_http) {
  ExpectBounded("/once/x", Endless("", kPiece));
  ExpectBounded("/stream/x", Endless("", kPiece));
}

BOOST_AUTO_TEST_CASE(interim_replies) {
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n";
  ExpectBounded("/once/x", Endless("", interim));
  ExpectBounded("/once/x", Endless("", interim, milliseconds(20)));
}

BOOST_AUTO_TEST_CASE(replies_to_other_requests) {
  const std::string foreign =
      "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nxx";
  ExpectBounded("/once/x", Endless("", foreign));
  ExpectBounded(
      "/once/x",
      Endless("HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", kPiece));
}

BOOST_AUTO_TEST_CASE(chunk_size_line) {
  const auto head = SignedHead("r1", "Transfer-Encoding: chunked\r\n\r\n");
  ExpectBounded("/once/x", Endless(head + "4;ext=", kPiece));
  ExpectBounded("/once/x", Endless(head, "0"));
}

BOOST_AUTO_TEST_CASE(trailers) {
  const auto head = SignedHead("r1", "Transfer-Encoding: chunked\r\n\r\n0\r\n");
  ExpectBounded("/once/x", Endless(head + "A: ", kPiece));
  ExpectBounded("/once/x", Endless(head, "A: b\r\n", milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(body_at_full_speed) {
  ExpectBounded(
      "/once/x",
      Endless(SignedHead("r1", "Transfer-Encoding: chunked\r\n\r\n"), kChunk));
  ExpectBounded("/once/x", Endless(SignedHead("r1", "\r\n"), kPiece));
}

BOOST_AUTO_TEST_CASE(body_a_byte_now_and_then) {
  ExpectBounded("/once/x",
                Endless(SignedHead("r1", "Transfer-Encoding: chunked\r\n\r\n"),
                        "1\r\nx\r\n", milliseconds(30)));
  ExpectBounded("/talk/stream/x",
                Endless(SignedHead("r1", "Transfer-Encoding: chunked\r\n\r\n"),
                        "1\r\nx\r\n", milliseconds(30)));
}

// The bodies of failures were collected up to the limit of a whole stream.
BOOST_AUTO_TEST_CASE(error_answer_to_a_stream) {
  for (const auto* path : {"/stream/x", "/talk/stream/x"}) {
    ExpectBounded(path, Endless("HTTP/1.1 500 X\r\n\r\n", kPiece));
    ExpectBounded(path, Endless("HTTP/1.1 500 X\r\nRequest-Id: r1\r\n"
                                "Response-Signature: s\r\n\r\n",
                                kPiece));
  }
}

// A refusal proves that the request has not run, whatever follows its head.
BOOST_AUTO_TEST_CASE(body_of_a_refusal) {
  const std::string refusal = "Not-Executed: 1\r\n\r\n";
  WithRawServer(
      [&refusal](Fiber&, RawServer::Peer& peer) {
        const auto id = RequestIdOf(peer.ReadHead());
        if (id == "probe") {
          peer.Write(Answer(id, "ok"));
          return;
        }
        peer.Write("HTTP/1.1 503 Busy\r\nRequest-Id: " + id + "\r\n" + refusal);
        while (peer.Write(kPiece)) {
        }
      },
      [](Fiber& fiber, VmDeployment& deployment,
         const VmDeployment::Vm& front) {
        const auto reply =
            deployment.Send(fiber, front, {"/once/x", "r1", "", {}});
        BOOST_TEST(reply.status == 503);
        BOOST_TEST(!reply.Header("Retry-After").empty());
      });
}

// The data of the events was collected without limit, to be stored.
BOOST_AUTO_TEST_CASE(events_of_a_turn_that_is_stored) {
  const auto event = "data: " + kPiece + "\n\n";
  ExpectBounded("/talk/stream/x", Endless(SignedHead("r1", "\r\n"), event));
}

BOOST_AUTO_TEST_CASE(event_without_end) {
  ExpectBounded(
      "/talk/stream/x",
      Endless(SignedHead("r1", "Transfer-Encoding: chunked\r\n\r\n"), kChunk));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
