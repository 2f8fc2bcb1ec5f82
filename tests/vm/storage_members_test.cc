// Members of the storage list that are gone for good, beside others that join,
// leave or lose their disk.

#include <chrono>
#include <filesystem>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "vm/disk_gate.h"
#include "vm/turn_requests.h"
#include "vm/vm_deployment.h"

namespace comfreyfold {
namespace {

constexpr int kTurns = 12;
constexpr std::chrono::milliseconds kShortGrace{1000};

std::string TurnId(int n) {
  return "turn-" + std::to_string(n);
}

void BeginChains(Fiber& fiber, VmDeployment& deployment) {
  for (int n = 0; n < kTurns; ++n) {
    BOOST_REQUIRE(
        SendTurn(fiber, deployment, "front-1", TurnId(n), "hello").status ==
        200);
  }
}

// Returns how many of the chains go on; `name` makes the ids of the turns.
int ContinuedChains(Fiber& fiber,
                    VmDeployment& deployment,
                    const std::string& name) {
  int out = 0;
  for (int n = 0; n < kTurns; ++n) {
    const auto reply = SendTurn(fiber, deployment, "front-2",
                                name + std::to_string(n), "on", TurnId(n));
    out += reply.status == 200 ? 1 : 0;
  }
  return out;
}

// Starts the daemon of `name` anew on an empty disk.
void WipeVm(Fiber& fiber, VmDeployment& deployment, const std::string& name) {
  auto& vm = deployment.vm(name);
  deployment.StopVm(fiber, vm);
  std::filesystem::remove_all(vm.settings.data_folder);
  std::filesystem::create_directories(vm.settings.data_folder);
  deployment.RestartVm(vm);
}

bool HasMembers(Fiber& fiber, VmDeployment& deployment, std::size_t n) {
  return deployment.WaitFor(
      fiber, [&] { return deployment.StorageMemberCount() == n; });
}

// The successor joins first, then the old VM is stopped for good.
void ReplaceVm(Fiber& fiber,
               VmDeployment& deployment,
               const std::string& old_vm,
               const std::string& successor) {
  deployment.AddVm(successor, true, false);
  BOOST_REQUIRE(HasMembers(fiber, deployment, 4));
  deployment.StopVm(fiber, deployment.vm(old_vm));
}

BOOST_AUTO_TEST_SUITE(storage_members)

// It stayed in the list, and its turns had one copy less.
BOOST_AUTO_TEST_CASE(stopped_member_is_removed_and_copied_though_none_joins) {
  WithTwoFrontDaemons([](Fiber& fiber, VmDeployment& deployment) {
    BeginChains(fiber, deployment);
    ReplaceVm(fiber, deployment, "disk-1", "disk-4");
    BOOST_TEST(HasMembers(fiber, deployment, 3));
    WipeVm(fiber, deployment, "disk-2");
    BOOST_TEST(deployment.WaitFor(fiber, [&] {
      return ContinuedChains(fiber, deployment, "on-") == kTurns;
    }));
    BOOST_TEST(HasMembers(fiber, deployment, 3));
  });
}

// The second successor found two dead members and never joined.
BOOST_AUTO_TEST_CASE(a_second_replacement_ends_like_the_first) {
  WithTwoFrontDaemons([](Fiber& fiber, VmDeployment& deployment) {
    BeginChains(fiber, deployment);
    ReplaceVm(fiber, deployment, "disk-1", "disk-4");
    BOOST_TEST(HasMembers(fiber, deployment, 3));
    ReplaceVm(fiber, deployment, "disk-2", "disk-5");
    BOOST_TEST(HasMembers(fiber, deployment, 3));
    BOOST_TEST(ContinuedChains(fiber, deployment, "on-") == kTurns);
  });
}

// A restart takes less time than a member has to come back.
BOOST_AUTO_TEST_CASE(restarted_member_stays_in_the_list) {
  WithTwoFrontDaemons([](Fiber& fiber, VmDeployment& deployment) {
    deployment.AddVm("disk-4", true, false);
    BOOST_REQUIRE(HasMembers(fiber, deployment, 4));
    const auto before = deployment.StorageListVersion();
    for (const auto* it : {"disk-1", "disk-2", "disk-3", "disk-4"}) {
      deployment.StopVm(fiber, deployment.vm(it));
      deployment.RestartVm(deployment.vm(it));
      BOOST_TEST(deployment.WaitFor(fiber, [&] {
        return SendTurn(fiber, deployment, "front-1",
                        std::string("after-") + it, "hello")
                   .status == 200;
      }));
    }
    BOOST_TEST(deployment.StorageListVersion() == before);
  });
}

// The change waited for the lost disk, whose VM waited for the change.
BOOST_AUTO_TEST_CASE(disk_lost_while_another_leaves_joins_again) {
  // The daemons of a deployment are never destroyed.
  auto& gate = *new DiskGate;
  WithTwoFrontDaemons([&gate](Fiber& fiber, VmDeployment& deployment) {
    BeginChains(fiber, deployment);
    auto& disk = deployment.vm("disk-2");
    auto settings = disk.settings;
    settings.stop_grace = kShortGrace;
    disk.daemon->Reload(settings);
    gate.Guard(disk);
    gate.Close();
    deployment.store().Put("op/retire/disk-1", R"({"duration_s": 8})");
    BOOST_REQUIRE(
        deployment.WaitFor(fiber, [&] { return deployment.IsListChanging(); }));
    WipeVm(fiber, deployment, "disk-2");
    BOOST_TEST(HasMembers(fiber, deployment, 2));
    BOOST_TEST(deployment.WaitFor(fiber, [&] {
      return ContinuedChains(fiber, deployment, "on-") == kTurns;
    }));
  });
}

// It reported to be empty, while the list still named the disk that it lost.
BOOST_AUTO_TEST_CASE(disk_lost_by_a_vm_that_is_to_be_emptied_joins_again) {
  WithTwoFrontDaemons([](Fiber& fiber, VmDeployment& deployment) {
    BeginChains(fiber, deployment);
    deployment.store().Put("op/retire/disk-1", R"({"duration_s": 8})");
    BOOST_REQUIRE(HasMembers(fiber, deployment, 2));
    deployment.store().Put("op/retire/disk-2", R"({"duration_s": 8})");
    WipeVm(fiber, deployment, "disk-2");
    BOOST_TEST(deployment.WaitFor(fiber, [&] {
      return ContinuedChains(fiber, deployment, "on-") == kTurns;
    }));
    BOOST_TEST(HasMembers(fiber, deployment, 2));
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
