// Chains of before go on when the disks that are left have to hold what all
// held.

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "vm/turn_requests.h"
#include "vm/vm_deployment.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kInputBytes = 90000;
constexpr int kSenders = 8;
// Longer than machines that run tests take to write.
constexpr milliseconds kTimeLimit{10000};
constexpr int kContinued = 12;

struct Chain {
  std::string id;
  char content;
};

std::string InputOf(const Chain& chain) {
  return std::string(kInputBytes, chain.content);
}

HttpReply SendLargeTurn(Fiber& fiber,
                        VmDeployment& deployment,
                        const Chain& chain,
                        const std::string& previous = {}) {
  VmDeployment::ClientRequest request{
      "/talk/stream/x", chain.id, InputOf(chain), {}, kTimeLimit};
  if (!previous.empty()) {
    request.headers.push_back({"Previous-Turn", previous});
  }
  return deployment.Send(fiber, deployment.vm("front-1"), request);
}

// Sends first turns side by side until one is refused, `most` at most. Returns
// those that were answered.
std::vector<Chain> BeginChains(Fiber& fiber,
                               VmDeployment& deployment,
                               int most) {
  std::vector<Chain> out;
  int begun = 0;
  int senders = kSenders;
  bool refused = false;
  for (int n = 0; n < kSenders; ++n) {
    fiber.loop().Spawn([&](Fiber& child) {
      while (!refused && begun < most) {
        const Chain chain{"t" + std::to_string(begun),
                          static_cast<char>('a' + begun % 26)};
        ++begun;
        if (SendLargeTurn(child, deployment, chain).status == 200) {
          out.push_back(chain);
        } else {
          refused = true;
        }
      }
      --senders;
    });
  }
  BOOST_REQUIRE(deployment.WaitFor(fiber, [&] { return senders == 0; }));
  return out;
}

// Returns how many of the chains go on, with the whole of their content.
int ContinueChains(Fiber& fiber,
                   VmDeployment& deployment,
                   const std::vector<Chain>& chains) {
  int out = 0;
  for (int n = 0; n < kContinued; ++n) {
    const auto& before = chains[static_cast<std::size_t>(n)];
    const Chain next{before.id + "-next", 'z'};
    const auto reply = SendLargeTurn(fiber, deployment, next, before.id);
    const auto& runs = deployment.server("s1").service->runs();
    const bool whole =
        std::any_of(runs.begin(), runs.end(), [&](const auto& run) {
          return run.request_id == next.id &&
                 run.request.body.rfind(InputOf(before), 0) == 0 &&
                 run.request.body.size() > 2 * kInputBytes;
        });
    out += reply.status == 200 && whole ? 1 : 0;
  }
  return out;
}

void WithDisks(std::int64_t memory_bytes,
               std::int64_t disk_bytes,
               const TestBody& body) {
  RunWithDeployment([&](Fiber& fiber, VmDeployment& deployment) {
    deployment.SetStorageMemory(memory_bytes);
    deployment.SetDiskBytes(disk_bytes);
    deployment.StartAll(fiber, 1);
    deployment.AddServer("s1", milliseconds(20));
    BOOST_REQUIRE(deployment.WaitFor(fiber, [&] {
      return deployment
                 .Send(fiber, deployment.vm("front-1"),
                       {"/plain/x", "probe", "", {}})
                 .status == 200;
    }));
    body(fiber, deployment);
  });
}

BOOST_AUTO_TEST_SUITE(lost_disk_room)

// Two disks had no memory for what three held, and refused all turns.
BOOST_AUTO_TEST_CASE(two_disks_hold_what_three_held_beyond_their_memory) {
  constexpr std::int64_t kMemory = 12L * 1024 * 1024;
  constexpr int kChains = 56;
  WithDisks(kMemory, 0, [](Fiber& fiber, VmDeployment& deployment) {
    const auto chains = BeginChains(fiber, deployment, kChains);
    BOOST_REQUIRE(chains.size() == static_cast<std::size_t>(kChains));
    deployment.StopVm(fiber, deployment.vm("disk-3"));
    BOOST_TEST(ContinueChains(fiber, deployment, chains) == kContinued);
  });
}

BOOST_AUTO_TEST_CASE(known_chains_go_on_when_new_ones_are_refused) {
  constexpr std::int64_t kMemory = 100L * 1024 * 1024;
  constexpr std::int64_t kDisk = 24L * 1024 * 1024;
  constexpr int kMostChains = 400;
  WithDisks(kMemory, kDisk, [](Fiber& fiber, VmDeployment& deployment) {
    const auto chains = BeginChains(fiber, deployment, kMostChains);
    BOOST_REQUIRE(chains.size() >= static_cast<std::size_t>(kContinued));
    BOOST_REQUIRE(chains.size() < static_cast<std::size_t>(kMostChains));
    const auto reply = SendLargeTurn(fiber, deployment, {"new", 'n'});
    BOOST_TEST(reply.status == 503);
    BOOST_TEST(reply.body.find("storage_full") != std::string::npos);
    // With the loss as well, whose room was kept.
    deployment.StopVm(fiber, deployment.vm("disk-3"));
    BOOST_TEST(ContinueChains(fiber, deployment, chains) == kContinued);
    BOOST_TEST(SendLargeTurn(fiber, deployment, {"new-2", 'n'}).status == 200);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
