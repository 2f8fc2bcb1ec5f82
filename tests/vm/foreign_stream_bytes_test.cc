// Errors and other bytes in the place of the rest of a stream.

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "vm/received_answers.h"

namespace comfreyfold {
namespace {

using standins::RawServer;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(foreign_answers)

std::string Status(int status,
                   const std::string& headers,
                   const std::string& body = "it failed\n\nbadly\n\n") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Runs a stream whose first server breaks off after two events and whose
// further attempts get `second`, and checks that the client received nothing
// but the start of the stream.
void ExpectStartOfStream(Fiber& fiber,
                         VmDeployment& deployment,
                         const VmDeployment::Vm& front,
                         const std::string& path,
                         const std::string& id,
                         bool is_sound) {
  const auto reply = Receive(fiber, deployment, front, path, id);
  const auto whole = Events(1, kEvents);
  BOOST_TEST(reply.status == 200);
  BOOST_TEST(reply.body.size() >= Events(1, 2).size());
  BOOST_TEST(whole.substr(0, reply.body.size()) == reply.body);
  BOOST_TEST(reply.complete == is_sound);
  if (reply.complete) {
    BOOST_TEST(reply.body == whole);
  }
}

// A whole error head, or its text, in the body of the stream itself.
struct ErrorInStream {
  std::string error;
  bool unframed;
  bool same_packet;  // As the events before it.
};

std::vector<ErrorInStream> ErrorsInStreams() {
  std::vector<ErrorInStream> out;
  for (const auto& error :
       {Status(500, "Request-Id: r\r\n"), Refusal("r"), RefusalWithoutId(),
        std::string("Internal Server Error\n\n"),
        std::string("{\"error\": \"overloaded\"}\n\n"),
        std::string("error: overloaded\n\n")}) {
    for (const bool unframed : {false, true}) {
      for (const bool same_packet : {false, true}) {
        out.push_back({error, unframed, same_packet});
      }
    }
  }
  return out;
}

void WriteErrorInStream(Fiber& fiber,
                        RawServer::Peer& peer,
                        const std::string& id,
                        const ErrorInStream& it) {
  const auto frame = [&it](const std::string& bytes) {
    return it.unframed ? bytes : Chunk(bytes);
  };
  peer.Write(it.unframed ? SignedHead(id, "\r\n") : ChunkedHead(id));
  if (it.same_packet) {
    peer.Write(frame(Events(1, 2) + it.error));
  } else {
    peer.Write(frame(Events(1, 2)));
    fiber.Sleep(milliseconds(20));
    peer.Write(frame(it.error));
  }
  peer.Write(it.unframed ? "" : "0\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(error_written_into_stream_is_not_passed_on) {
  const auto errors = ErrorsInStreams();
  WithRawServer(
      [&errors](Fiber& fiber, RawServer::Peer& peer) {
        for (auto head = peer.ReadHead(); !head.empty();
             head = peer.ReadHead()) {
          const auto id = RequestIdOf(head);
          if (id == "probe") {
            peer.Write(Answer(id, ""));
            continue;
          }
          WriteErrorInStream(fiber, peer, id, errors[std::stoul(id)]);
          return;
        }
      },
      [&errors](Fiber& fiber, VmDeployment& deployment,
                const VmDeployment::Vm& front) {
        for (std::size_t n = 0; n < errors.size(); ++n) {
          const auto& it = errors[n];
          BOOST_TEST_CONTEXT(it.error << it.unframed << it.same_packet) {
            Probe(fiber, deployment, front);
            ExpectStartOfStream(fiber, deployment, front, "/talk/stream/x",
                                std::to_string(n), false);
          }
        }
      });
}

// The first server broke off before its first event, and the second was told to
// begin at the start.
BOOST_AUTO_TEST_CASE(resumed_stream_keeps_the_client_s_place) {
  std::vector<std::string> asked;
  WithRawServer(
      [&asked](Fiber&, RawServer::Peer& peer) {
        for (auto head = peer.ReadHead(); !head.empty();
             head = peer.ReadHead()) {
          const auto id = RequestIdOf(head);
          if (id == "probe") {
            peer.Write(Answer(id, ""));
            continue;
          }
          const std::string name = "Last-Event-Id: ";
          const auto n = head.find(name) + name.size();
          asked.push_back(head.substr(n, head.find("\r\n", n) - n));
          if (asked.size() == 1) {
            peer.Write(ChunkedHead(id));
            return;
          }
          peer.Write(WholeStream(id, std::atoi(asked.back().c_str()) + 1));
        }
      },
      [&](Fiber& fiber, VmDeployment& deployment,
          const VmDeployment::Vm& front) {
        const auto reply = Receive(fiber, deployment, front, "/stream/x", "r1",
                                   {{"Last-Event-Id", "2"}});
        BOOST_TEST(reply.complete);
        BOOST_TEST(reply.body == Events(3, kEvents));
        BOOST_TEST(asked == (std::vector<std::string>{"2", "2"}),
                   boost::test_tools::per_element());
      });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
