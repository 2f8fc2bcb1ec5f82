// Chains that are older than several retentions, beside clocks that differ.

#include <filesystem>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "storage/disk_log.h"
#include "vm/stepping_clock.h"
#include "vm/turn_requests.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr const char* kTurnOutput = "event-1\nevent-2\nevent-3\nevent-4\n";

// A retention takes 60 s.
constexpr milliseconds kPause{52000};
constexpr milliseconds kClockError{2000};

// Chains of turns that go on through faults of the disks.
class OldChains {
 public:
  OldChains(Fiber& fiber, VmDeployment& deployment, unsigned seed)
      : fiber_(fiber), deployment_(deployment), random_(seed), chains_(6) {}

  // Sends a next turn of the chain, through either daemon.
  void Continue(std::size_t n) {
    auto& chain = chains_[n];
    const auto input = "in" + std::to_string(chain.turns) + ";";
    const auto id = std::to_string(n) + "-" + std::to_string(chain.turns);
    const auto previous =
        chain.turns == 0
            ? ""
            : std::to_string(n) + "-" + std::to_string(chain.turns - 1);
    const std::string front = random_() % 2 == 0 ? "front-1" : "front-2";
    int status = 0;
    const bool answered = deployment_.WaitFor(fiber_, [&] {
      status = SendTurn(fiber_, deployment_, front, id, input, previous).status;
      return status != 503;
    });
    BOOST_TEST(answered);
    BOOST_REQUIRE(status == 200);
    BOOST_TEST(deployment_.server("s1").service->runs().back().request.body ==
               chain.bytes + input);
    chain.bytes += input + kTurnOutput;
    ++chain.turns;
  }
  void ContinueAll() {
    for (std::size_t n = 0; n < chains_.size(); ++n) {
      Continue(n);
    }
  }
  void ContinueSome() {
    for (std::size_t n = 0; n < chains_.size(); ++n) {
      if (random_() % 2 == 0) {
        Continue(n);
      }
    }
  }
  // Stops a disk, plays turns without it, and has it or another one back.
  void LoseDisk() {
    const auto lost = random_() % disks_.size();
    auto& vm = deployment_.vm(disks_[lost]);
    deployment_.StopVm(fiber_, vm);
    ContinueSome();
    switch (random_() % 3) {
      case 0:
        deployment_.RestartVm(vm);
        break;
      case 1:
        std::filesystem::remove_all(vm.settings.data_folder);
        std::filesystem::create_directories(vm.settings.data_folder);
        deployment_.RestartVm(vm);
        break;
      default:
        disks_[lost] = "new-" + std::to_string(++added_);
        deployment_.AddVm(disks_[lost], true, false);
    }
    ContinueSome();
    BOOST_REQUIRE(deployment_.WaitFor(fiber_, [this] { return IsWhole(); }));
  }

 private:
  struct Chain {
    int turns = 0;
    std::string bytes;
  };

  // Whether the disks that run are the members, and none else.
  bool IsWhole() {
    const auto list = deployment_.store().Value("comfreyfold/storage");
    bool whole = deployment_.StorageMemberCount() == disks_.size();
    for (const auto& it : disks_) {
      const auto disk =
          ReadWholeFile(deployment_.vm(it).settings.data_folder + "/disk");
      whole = whole && !disk.empty() && list.find(disk) != std::string::npos;
    }
    return whole;
  }

  Fiber& fiber_;
  VmDeployment& deployment_;
  std::mt19937 random_;
  std::vector<Chain> chains_;
  std::vector<std::string> disks_{"disk-1", "disk-2", "disk-3"};
  int added_ = 0;
};

BOOST_AUTO_TEST_SUITE(old_chains)

// Guards against earlier turns of a chain that expire before its newest one.
BOOST_AUTO_TEST_CASE(chains_older_than_retentions_go_on_through_lost_disks) {
  constexpr unsigned kSeeds = 2;
  constexpr int kRounds = 6;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    WithTwoFrontDaemons([seed](Fiber& fiber, VmDeployment& deployment) {
      BOOST_TEST_CONTEXT("seed " << seed) {
        UnevenWallClock clock(seed, kClockError);
        OldChains chains(fiber, deployment, seed);
        for (int n = 0; n < kRounds; ++n) {
          chains.ContinueAll();
          clock.Advance(kPause);
          chains.LoseDisk();
        }
        chains.ContinueAll();
      }
    });
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
