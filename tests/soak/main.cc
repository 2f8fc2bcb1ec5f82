// A randomized soak of the daemons as real processes:
//   comfreyfold_soak --daemon build/bin/comfreyfold-vm --first 1 --seeds 50

#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include <cxxopts.hpp>

#include "harness/test_folder.h"
#include "soak/soak_clients.h"
#include "soak/soak_faults.h"
#include "soak/soak_fleet.h"

namespace comfreyfold::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kClients = 8;
constexpr milliseconds kLook{50};
constexpr seconds kStart{20};
// After the last fault all is served again within that time (deployment
// sheets: recover_s).
constexpr seconds kRecover{12};
constexpr seconds kClientsEnd{10};

bool WaitFor(Fiber& fiber,
             milliseconds time,
             const std::function<bool()>& what) {
  const auto until = std::chrono::steady_clock::now() + time;
  while (!what()) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    fiber.Sleep(kLook);
  }
  return true;
}

struct Outcome {
  std::vector<std::string> violations;
  std::vector<std::string> faults;
  int answered = 0;
  int refused = 0;
  int broken = 0;
  int turns = 0;
};

void Play(Fiber& fiber,
          Loop& loop,
          SoakFleet& fleet,
          std::uint64_t seed,
          seconds time,
          Outcome& out) {
  fleet.WriteConfig(1);
  for (const auto& it : fleet.vms()) {
    fleet.Start(*it);
  }
  SoakClients clients(loop, fleet, seed);
  const bool started = WaitFor(fiber, kStart, [&] {
    return fleet.Members() == fleet.Disks().size() &&
           clients.ServedEverywhere(fiber);
  });
  if (!started) {
    out.violations.emplace_back("the deployment did not start");
    return;
  }
  clients.Start(kClients);
  SoakFaults faults(loop, fleet, clients, seed);
  faults.Run(fiber, time);
  for (const auto& it : fleet.vms()) {
    if (SoakFleet::Ended(*it)) {
      out.violations.push_back(it->name + " ended by itself");
    }
  }
  const auto recovered = std::chrono::steady_clock::now() + kRecover;
  if (!WaitFor(fiber, kRecover,
               [&] { return clients.ServedEverywhere(fiber); })) {
    out.violations.emplace_back("not served everywhere after the last fault");
  }
  clients.CheckKeptGoOn(fiber, recovered);
  clients.Stop();
  if (!WaitFor(fiber, kClientsEnd, [&] { return clients.idle(); })) {
    out.violations.emplace_back("a request never ended");
  }
  clients.CheckEnd();
  for (const auto& it : clients.violations()) {
    out.violations.push_back(it);
  }
  out.faults = faults.done();
  out.answered = clients.answered();
  out.refused = clients.refused();
  out.broken = clients.broken();
  out.turns = clients.turns();
}

// True when every promise was kept. Files of a seed that broke one stay.
bool RunSeed(const SoakFleet::Programs& programs,
             const std::string& folder,
             std::uint64_t seed,
             seconds time) {
  const auto files = folder + "/seed-" + std::to_string(seed);
  std::filesystem::remove_all(files);
  std::filesystem::create_directories(files);
  Outcome outcome;
  // Coroutines of callers may outlive the loop's run: neither is taken apart.
  auto* loop = new Loop;
  auto* fleet = new SoakFleet(*loop, files, programs, seed);
  loop->Spawn([&](Fiber& fiber) {
    try {
      Play(fiber, *loop, *fleet, seed, time, outcome);
    } catch (const std::exception& e) {
      outcome.violations.emplace_back(e.what());
    }
    loop->Stop();
  });
  loop->Run();
  for (const auto& it : fleet->vms()) {
    SoakFleet::Kill(*it);
  }
  std::cout << "seed " << seed << ": syncs take " << fleet->sync_time().count()
            << " ms, " << outcome.faults.size() << " faults, "
            << outcome.answered << " answered, " << outcome.refused
            << " refused, " << outcome.broken << " broken off, "
            << outcome.turns << " turns kept, " << outcome.violations.size()
            << " violations" << std::endl;
  if (outcome.violations.empty()) {
    std::filesystem::remove_all(files);
    return true;
  }
  for (const auto& it : outcome.faults) {
    std::cout << "  fault at " << it << "\n";
  }
  for (const auto& it : outcome.violations) {
    std::cout << "  violation: " << it << "\n";
  }
  std::cout << "  logs in " << files << std::endl;
  return false;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("comfreyfold_soak", "a randomized fault soak");
  options.add_options()("daemon", "path of comfreyfold-vm",
                        cxxopts::value<std::string>())(
      "preload", "path of the library that notes what is synced",
      cxxopts::value<std::string>()->default_value(COMFREYFOLD_SOAK_PRELOAD))(
      "folder", "where disks and logs go; empty: a new folder in memory",
      cxxopts::value<std::string>()->default_value(""))(
      "first", "the first seed",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seeds", "how many seeds",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "how long faults are injected for each seed",
      cxxopts::value<int>()->default_value("8"));
  const auto args = options.parse(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  const auto first = args["first"].as<std::uint64_t>();
  const auto count = args["seeds"].as<std::uint64_t>();
  const auto chosen = args["folder"].as<std::string>();
  const std::filesystem::path folder =
      chosen.empty() ? harness::TestRoot() /
                           ("comfreyfold-soak-" + std::to_string(::getpid()))
                     : std::filesystem::path(chosen);
  std::uint64_t kept = 0;
  for (auto seed = first; seed < first + count; ++seed) {
    kept += RunSeed({args["daemon"].as<std::string>(),
                     args["preload"].as<std::string>()},
                    folder.string(), seed, seconds(args["seconds"].as<int>()))
                ? 1
                : 0;
  }
  std::error_code ec;
  std::filesystem::remove(folder, ec);  // Unless a seed has left its files.
  std::cout << "soak: " << kept << " of " << count
            << " seeds kept every promise" << std::endl;
  return kept == count ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace comfreyfold::soak

int main(int argc, char** argv) {
  return comfreyfold::soak::Main(argc, argv);
}
