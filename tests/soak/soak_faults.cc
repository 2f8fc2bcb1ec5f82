#include "soak/soak_faults.h"

#include <algorithm>
#include <csignal>

namespace comfreyfold::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLook{20};
constexpr std::size_t kDisks = 3;
// A VM that joins copies what it lacks within this time, or a check fails.
constexpr milliseconds kJoin{15000};
constexpr milliseconds kStopGrace{4500};

}  // namespace

SoakFaults::SoakFaults(Loop& loop,
                       SoakFleet& fleet,
                       SoakClients& clients,
                       std::uint64_t seed)
    : loop_(loop),
      fleet_(fleet),
      clients_(clients),
      draw_(seed),
      start_(std::chrono::steady_clock::now()) {}

milliseconds SoakFaults::Draw(int from_ms, int to_ms) {
  return milliseconds(
      from_ms +
      static_cast<int>(draw_() % static_cast<unsigned>(to_ms - from_ms + 1)));
}

SoakFleet::Vm& SoakFaults::AnyVm() {
  return *fleet_.vms()[draw_() % fleet_.vms().size()];
}

void SoakFaults::Beside(const std::string& name,
                        const std::function<void(Fiber&)>& body) {
  const auto at = std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - start_);
  done_.push_back(std::to_string(at.count()) + " ms " + name);
  ++under_way_;
  loop_.Spawn([this, body](Fiber& fiber) {
    body(fiber);
    --under_way_;
  });
}

void SoakFaults::Run(Fiber& fiber, milliseconds time) {
  const auto until = std::chrono::steady_clock::now() + time;
  while (std::chrono::steady_clock::now() < until) {
    InjectOne(fiber);
    fiber.Sleep(Draw(50, 900));
  }
  while (under_way_ > 0) {
    fiber.Sleep(kLook);
  }
}

void SoakFaults::InjectOne(Fiber&) {
  using Fault = void (SoakFaults::*)();
  static constexpr Fault kFaults[] = {
      &SoakFaults::KillOne,       &SoakFaults::KillDisks,
      &SoakFaults::FreezeOne,     &SoakFaults::StopOne,
      &SoakFaults::ReloadOne,     &SoakFaults::WipeOne,
      &SoakFaults::DisturbProxy,  &SoakFaults::DisturbStore,
      &SoakFaults::DisturbServer, &SoakFaults::WriteConfig};
  (this->*kFaults[draw_() % std::size(kFaults)])();
}

void SoakFaults::Restart(Fiber& fiber, SoakFleet::Vm& vm) {
  fiber.Sleep(Draw(0, 1200));
  fleet_.Start(vm);
  std::erase(busy_, vm.name);
}

void SoakFaults::KillOne() {
  auto& vm = AnyVm();
  const bool tear = draw_() % 2 == 0;
  if (std::count(busy_.begin(), busy_.end(), vm.name) > 0) {
    return;
  }
  busy_.push_back(vm.name);
  Beside("kill " + vm.name + (tear ? ", torn" : ""), [&](Fiber& fiber) {
    SoakFleet::Kill(vm);
    if (tear && !vm.data_folder.empty()) {
      SoakFleet::Tear(vm);
    }
    Restart(fiber, vm);
  });
}

void SoakFaults::KillDisks() {
  for (auto* it : fleet_.Disks()) {
    if (std::count(busy_.begin(), busy_.end(), it->name) > 0) {
      continue;
    }
    busy_.push_back(it->name);
    Beside("kill " + it->name + " with the others", [this, it](Fiber& fiber) {
      SoakFleet::Kill(*it);
      Restart(fiber, *it);
    });
  }
}

void SoakFaults::FreezeOne() {
  auto& vm = AnyVm();
  if (std::count(busy_.begin(), busy_.end(), vm.name) > 0) {
    return;
  }
  busy_.push_back(vm.name);
  const auto time = Draw(200, 2500);
  Beside("freeze " + vm.name + " for " + std::to_string(time.count()) + " ms",
         [this, &vm, time](Fiber& fiber) {
           vm.process->Signal(SIGSTOP);
           fiber.Sleep(time);
           vm.process->Signal(SIGCONT);
           std::erase(busy_, vm.name);
         });
}

void SoakFaults::StopOne() {
  auto& vm = AnyVm();
  if (std::count(busy_.begin(), busy_.end(), vm.name) > 0) {
    return;
  }
  busy_.push_back(vm.name);
  Beside("stop " + vm.name, [this, &vm](Fiber& fiber) {
    vm.process->Signal(SIGTERM);
    const auto until = std::chrono::steady_clock::now() + kStopGrace;
    while (vm.process->Wait(milliseconds(0)) < 0 &&
           std::chrono::steady_clock::now() < until) {
      fiber.Sleep(kLook);
    }
    SoakFleet::Kill(vm);
    Restart(fiber, vm);
  });
}

void SoakFaults::ReloadOne() {
  auto& vm = AnyVm();
  if (std::count(busy_.begin(), busy_.end(), vm.name) == 0) {
    Beside("reload " + vm.name, [&vm](Fiber&) { vm.process->Signal(SIGHUP); });
  }
}

// The next disk is lost only when all copies are there again.
void SoakFaults::WipeOne() {
  auto* vm = fleet_.Disks()[draw_() % kDisks];
  if (disk_lost_ || fleet_.Members() != kDisks ||
      std::count(busy_.begin(), busy_.end(), vm->name) > 0) {
    return;
  }
  disk_lost_ = true;
  busy_.push_back(vm->name);
  Beside("empty the disk of " + vm->name, [this, vm](Fiber& fiber) {
    const auto before = fleet_.store().Value("comfreyfold/storage");
    SoakFleet::Kill(*vm);
    SoakFleet::Wipe(*vm);
    Restart(fiber, *vm);
    const auto until = std::chrono::steady_clock::now() + kJoin;
    while (std::chrono::steady_clock::now() < until &&
           (fleet_.store().Value("comfreyfold/storage") == before ||
            fleet_.Members() != kDisks)) {
      fiber.Sleep(kLook);
    }
    disk_lost_ = fleet_.Members() != kDisks;
  });
}

void SoakFaults::DisturbProxy() {
  auto& vm = AnyVm();
  auto& proxy = draw_() % 2 == 0 ? *vm.store : *vm.peers;
  const auto mode = static_cast<ProxyMode>(1 + draw_() % 5);
  const auto time = Draw(200, 3000);
  Beside("proxy of " + vm.name + ", mode " +
             std::to_string(static_cast<int>(mode)) + " for " +
             std::to_string(time.count()) + " ms",
         [&proxy, mode, time, this](Fiber& fiber) {
           proxy.Set(mode, Draw(20, 300));
           fiber.Sleep(time);
           proxy.Set(ProxyMode::kPass);
         });
}

void SoakFaults::DisturbStore() {
  const auto mode = static_cast<ProxyMode>(1 + draw_() % 5);
  const auto time = Draw(500, 4000);
  Beside("store, mode " + std::to_string(static_cast<int>(mode)) + " for " +
             std::to_string(time.count()) + " ms",
         [mode, time, this](Fiber& fiber) {
           for (const auto& it : fleet_.vms()) {
             it->store->Set(mode, Draw(20, 300));
           }
           fiber.Sleep(time);
           for (const auto& it : fleet_.vms()) {
             it->store->Set(ProxyMode::kPass);
           }
         });
}

void SoakFaults::DisturbServer() {
  auto& server = *fleet_.servers()[draw_() % fleet_.servers().size()];
  static constexpr const char* kNames[] = {"refuse", "lost_answer", "stranger",
                                           "unsigned", "cut"};
  if (draw_() % 2 == 0) {
    const auto* name = kNames[draw_() % std::size(kNames)];
    Beside(server.id + " " + name,
           [&server, name](Fiber&) { server.service->faults().Set(name, 5); });
    return;
  }
  const auto mode = static_cast<ProxyMode>(1 + draw_() % 5);
  const auto time = Draw(200, 1500);
  Beside(server.id + ", mode " + std::to_string(static_cast<int>(mode)),
         [&server, mode, time, this](Fiber& fiber) {
           server.proxy->Set(mode, Draw(20, 300));
           fiber.Sleep(time);
           server.proxy->Set(ProxyMode::kPass);
         });
}

void SoakFaults::WriteConfig() {
  ++config_;
  Beside("configuration " + std::to_string(config_), [this](Fiber&) {
    fleet_.WriteConfig(config_);
    clients_.NoteConfig(config_);
  });
}

}  // namespace comfreyfold::soak
