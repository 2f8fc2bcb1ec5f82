// Bodies that together exceed what a daemon may hold: some requests are refused
// and can be repeated, and the daemon goes on.

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "vm/disk_gate.h"
#include "vm/turn_requests.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBodyBytes = 90000;  // The deployment allows 100000.
constexpr int kRequests = 400;
// A stream has four events, and an eighth of 100 MiB is for answers.
constexpr std::size_t kEventBytes = 200000;
constexpr int kLongTurns = 24;

BOOST_AUTO_TEST_SUITE(memory)

// Requests with large bodies were read and kept without a common limit, so that
// a burst of them ended the daemon for its memory.
BOOST_AUTO_TEST_CASE(burst_of_large_bodies_is_refused_beyond_the_limit) {
  RunWithDeployment([](Fiber& fiber, VmDeployment& deployment) {
    deployment.StartAll(fiber);
    // Each has 8 places.
    for (int n = 0; n < 30; ++n) {
      deployment.AddServer("s" + std::to_string(n), milliseconds(1500));
    }
    const auto& front = deployment.vm("front-1");
    BOOST_REQUIRE(deployment.WaitFor(fiber, [&] {
      return deployment.Send(fiber, front, {"/once/x", "probe", "", {}})
                 .status == 200;
    }));
    std::vector<HttpReply> replies;
    for (int n = 0; n < kRequests; ++n) {
      fiber.loop().Spawn([&, n](Fiber& child) {
        replies.push_back(deployment.Send(child, front,
                                          {"/once/x",
                                           "r" + std::to_string(n),
                                           std::string(kBodyBytes, 'x'),
                                           {}}));
      });
    }
    BOOST_REQUIRE(
        deployment.WaitFor(fiber, [&] { return replies.size() == kRequests; }));
    const auto refused =
        std::count_if(replies.begin(), replies.end(), [](const auto& it) {
          return it.status == 503 && !it.Header("Retry-After").empty() &&
                 it.body.find("no_memory") != std::string::npos;
        });
    // All together are 36 MB; an eighth of the 100 MiB may be held.
    BOOST_TEST(refused > 0);
    // A complete answer to each, and memory again for the next.
    BOOST_TEST(std::all_of(replies.begin(), replies.end(), [](const auto& it) {
      return it.status == 200 || it.status == 503;
    }));
    BOOST_TEST(deployment.WaitFor(fiber, [&] {
      return deployment
                 .Send(fiber, front,
                       {"/once/x", "last", std::string(kBodyBytes, 'x'), {}})
                 .status == 200;
    }));
  });
}

// What a server sends is held until the turn is stored. When the memory for it
// was used up, streams of turns that had run were cut.
BOOST_AUTO_TEST_CASE(
    turns_are_refused_before_the_output_of_others_has_no_room) {
  auto* gate = new DiskGate;  // The daemons are never destroyed.
  WithTwoFrontDaemons([gate](Fiber& fiber, VmDeployment& deployment) {
    for (const auto* it : {"disk-1", "disk-2", "disk-3"}) {
      gate->Guard(deployment.vm(it));
    }
    auto& server = *deployment.server("s1").service;
    server.SetEventBytes(kEventBytes);
    gate->Close();
    std::vector<HttpReply> replies;
    int sent = 0;
    // Half as many again as there is memory for, or until one has ended.
    for (; sent < kLongTurns && replies.empty(); ++sent) {
      const auto id = "t" + std::to_string(sent);
      fiber.loop().Spawn([&, id](Fiber& child) {
        replies.push_back(SendTurn(child, deployment, "front-1", id, "in;"));
      });
      BOOST_REQUIRE(deployment.WaitFor(fiber, [&] {
        return !replies.empty() ||
               (server.RunsOf(id) == 1 && server.runs().back().ended);
      }));
    }
    BOOST_REQUIRE(replies.size() == 1U);
    BOOST_TEST(replies.front().status == 503);
    BOOST_TEST(replies.front().body.find("no_memory") != std::string::npos);
    BOOST_TEST(!replies.front().Header("Retry-After").empty());
    gate->Open();
    BOOST_REQUIRE(deployment.WaitFor(fiber, [&] {
      return replies.size() == static_cast<std::size_t>(sent);
    }));
    BOOST_TEST(std::count_if(replies.begin(), replies.end(),
                             [](const auto& it) { return it.status == 200; }) ==
               sent - 1);
    server.SetEventBytes(0);
    BOOST_TEST(SendTurn(fiber, deployment, "front-1", "last", "in;").status ==
               200);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
