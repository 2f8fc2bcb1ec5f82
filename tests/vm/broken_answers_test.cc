// Answers of backend servers that end with their connection.

#include <boost/test/unit_test.hpp>

#include "vm/raw_answers.h"

namespace comfreyfold {
namespace {

using standins::RawServer;
using std::chrono::milliseconds;

std::string Event(int n) {
  return "id: " + std::to_string(n) + "\ndata: event-" + std::to_string(n) +
         "\n\n";
}

// Answers probes, and one other request on each connection: writes `head` and
// each of `pieces`, and ends the connection.
ServeConnection AnswerWith(const std::string& head,
                           const std::vector<std::string>& pieces,
                           bool reset = false) {
  return [=](Fiber& fiber, RawServer::Peer& peer) {
    for (auto request = peer.ReadHead(); !request.empty();
         request = peer.ReadHead()) {
      const auto id = RequestIdOf(request);
      if (id == "probe") {
        peer.Write(Answer(id, ""));
        continue;
      }
      peer.Write(SignedHead(id, head));
      for (const auto& it : pieces) {
        peer.Write(it);
        // The daemon reads each piece for itself.
        fiber.Sleep(milliseconds(20));
      }
      if (reset) {
        peer.Reset();
      }
      return;
    }
  };
}

BOOST_AUTO_TEST_SUITE(broken_answers)

BOOST_AUTO_TEST_CASE(unframed_stream_that_ends_inside_event_is_not_complete) {
  WithRawServer(
      AnswerWith("\r\n", {Event(1), Event(2) + "id: 3\nda"}),
      [](Fiber& fiber, VmDeployment& deployment,
         const VmDeployment::Vm& front) {
        BOOST_TEST(
            deployment.Send(fiber, front, {"/talk/stream/x", "r1", "", {}})
                .status == 0);
        // A turn that broke off cannot be continued.
        BOOST_TEST(
            deployment
                .Send(fiber, front,
                      {"/talk/stream/x", "r2", "", {{"Previous-Turn", "r1"}}})
                .status == 404);
      });
}

BOOST_AUTO_TEST_CASE(unframed_stream_that_ends_inside_event_is_resumed) {
  std::vector<std::string> resumed_after;
  WithRawServer(
      [&resumed_after](Fiber&, RawServer::Peer& peer) {
        for (auto head = peer.ReadHead(); !head.empty();
             head = peer.ReadHead()) {
          const auto id = RequestIdOf(head);
          if (id == "probe") {
            peer.Write(Answer(id, ""));
            continue;
          }
          const std::string name = "Last-Event-Id: ";
          const auto n = head.find(name);
          peer.Write(SignedHead(id, "\r\n"));
          if (n == std::string::npos) {
            peer.Write(Event(1) + "id: 2\ndata: ev");
          } else {
            resumed_after.push_back(head.substr(
                n + name.size(), head.find("\r\n", n) - n - name.size()));
            peer.Write(Event(2) + Event(3));
          }
          return;
        }
      },
      [&resumed_after](Fiber& fiber, VmDeployment& deployment,
                       const VmDeployment::Vm& front) {
        const auto reply =
            deployment.Send(fiber, front, {"/stream/x", "r1", "", {}});
        BOOST_TEST(reply.status == 200);
        BOOST_TEST(reply.body == Event(1) + Event(2) + Event(3));
        BOOST_TEST(resumed_after == std::vector<std::string>{"1"},
                   boost::test_tools::per_element());
      });
}

BOOST_AUTO_TEST_CASE(unframed_stream_without_event_is_not_complete) {
  WithRawServer(AnswerWith("\r\n", {}), [](Fiber& fiber,
                                           VmDeployment& deployment,
                                           const VmDeployment::Vm& front) {
    BOOST_TEST(deployment.Send(fiber, front, {"/talk/stream/x", "r1", "", {}})
                   .status == 0);
  });
}

BOOST_AUTO_TEST_CASE(unframed_stream_that_ends_after_event_is_complete) {
  WithRawServer(AnswerWith("\r\n", {Event(1), Event(2)}),
                [](Fiber& fiber, VmDeployment& deployment,
                   const VmDeployment::Vm& front) {
                  const auto reply = deployment.Send(
                      fiber, front, {"/talk/stream/x", "r1", "", {}});
                  BOOST_TEST(reply.status == 200);
                  BOOST_TEST(reply.body == Event(1) + Event(2));
                });
}

BOOST_AUTO_TEST_CASE(unframed_answer_is_complete_unless_reset) {
  const auto send = [](Fiber& fiber, VmDeployment& deployment,
                       const VmDeployment::Vm& front) {
    return deployment.Send(fiber, front, {"/once/x", "r1", "", {}});
  };
  WithRawServer(AnswerWith("\r\n", {"all ", "of it"}),
                [&](Fiber& fiber, VmDeployment& deployment,
                    const VmDeployment::Vm& front) {
                  const auto reply = send(fiber, deployment, front);
                  BOOST_TEST(reply.status == 200);
                  BOOST_TEST(reply.body == "all of it");
                });
  WithRawServer(AnswerWith("\r\n", {"all ", "of it"}, true),
                [&](Fiber& fiber, VmDeployment& deployment,
                    const VmDeployment::Vm& front) {
                  BOOST_TEST(send(fiber, deployment, front).status == 502);
                });
}

BOOST_AUTO_TEST_CASE(chunked_stream_that_ends_early_is_not_complete) {
  const std::string chunk = "15\r\n" + Event(1) + "\r\n";
  WithRawServer(
      AnswerWith("Transfer-Encoding: chunked\r\n\r\n", {chunk}),
      [](Fiber& fiber, VmDeployment& deployment,
         const VmDeployment::Vm& front) {
        BOOST_TEST(
            deployment.Send(fiber, front, {"/talk/stream/x", "r1", "", {}})
                .status == 0);
      });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
