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

// An answer to the second attempt at a stream, which is to go on after event 2.
struct Continuation {
  const char* name;
  std::string bytes;  // Empty: as a sound server.
  bool is_sound = false;
};

std::string Status(int status,
                   const std::string& headers,
                   const std::string& body = "it failed\n\nbadly\n\n") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::vector<Continuation> Continuations(const std::string& id) {
  const std::string own = "Request-Id: " + id + "\r\n";
  const std::string signature = "Response-Signature: s\r\n";
  const std::string text = "the server failed\n\nand says so\n\n";
  const auto head = ChunkedHead(id);
  const auto unframed = SignedHead(id, "\r\n");
  return {
      {"sound", head + Chunk(Events(3, 4)) + "0\r\n\r\n", true},
      {"500 signed", Status(500, own + signature)},
      {"500 unsigned", Status(500, own)},
      {"500 without id", Status(500, "")},
      {"500 in chunks", "HTTP/1.1 500 X\r\n" + own + signature +
                            "Transfer-Encoding: chunked\r\n\r\n" + Chunk(text) +
                            "0\r\n\r\n"},
      {"500 unframed", "HTTP/1.1 500 X\r\n" + own + signature + "\r\n" + text},
      {"503 not run", Status(503, own + "Not-Executed: 1\r\n")},
      {"404", Status(404, own + signature)},
      {"200 unsigned", Status(200, own, Events(3, 4))},
      {"200 without id", Status(200, signature, Events(3, 4))},
      {"200 of another id",
       Status(200, "Request-Id: other\r\n" + signature, Events(3, 4))},
      {"200 with text", Status(200, own + signature, text)},
      {"200 with text in chunks", head + Chunk(text) + "0\r\n\r\n"},
      {"200 with text, unframed", unframed + text},
      {"200 with JSON", Status(200, own + signature, "{\"a\": \"b\"}\n\n")},
      {"200 of another kind, empty",
       Status(200, own + signature + "Content-Type: text/plain\r\n", "")},
      {"200 empty, unframed", unframed},
      {"200 from event 1", WholeStream(id, 1)},
      {"200 from event 2", WholeStream(id, 2)},
      {"200 from event 1, unframed", unframed + Events(1, 4)},
      {"error after event 3",
       head + Chunk(Events(3, 3)) + Chunk(Status(500, own)) + "0\r\n\r\n"},
      {"error in the packet of event 3",
       head + Chunk(Events(3, 3) + Status(500, own)) + "0\r\n\r\n"},
      {"head after event 3, unframed", unframed + Events(3, 3) + Refusal(id)},
      {"head between chunks",
       head + Chunk(Events(3, 3)) + Status(500, own + signature)},
  };
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

BOOST_AUTO_TEST_CASE(stream_goes_on_with_its_own_events_or_ends_unfinished) {
  const auto count = Continuations("").size();
  std::vector<int> continued(count);
  WithRawServer(
      [&continued](Fiber&, RawServer::Peer& peer) {
        for (auto head = peer.ReadHead(); !head.empty();
             head = peer.ReadHead()) {
          const auto id = RequestIdOf(head);
          if (id == "probe") {
            peer.Write(Answer(id, ""));
            continue;
          }
          const auto n = std::stoul(id);
          if (head.find("Last-Event-Id: ") == std::string::npos) {
            peer.Write(ChunkedHead(id) + Chunk(Events(1, 2)));
          } else {
            ++continued[n];
            peer.Write(Continuations(id)[n].bytes);
          }
          return;
        }
      },
      [&](Fiber& fiber, VmDeployment& deployment,
          const VmDeployment::Vm& front) {
        for (std::size_t n = 0; n < count; ++n) {
          const auto id = std::to_string(n);
          BOOST_TEST_CONTEXT(Continuations(id)[n].name) {
            Probe(fiber, deployment, front);
            ExpectStartOfStream(fiber, deployment, front, "/stream/x", id,
                                Continuations(id)[n].is_sound);
            BOOST_TEST(continued[n] > 0);
          }
        }
      });
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
