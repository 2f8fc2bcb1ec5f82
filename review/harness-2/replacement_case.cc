#include "replacement_case.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <vector>

#include "fleet.h"

namespace comfreyfold::review {

namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kPrograms = 12;
// catch_up_s is 4.4; the machine that leaves is stopped after that time, and
// the disk is lost long after the successor has had it.
constexpr milliseconds kCatchUp{4400};
constexpr milliseconds kGrace{8000};
constexpr milliseconds kBeforeLoss{10000};
constexpr milliseconds kDownTime{1000};
// Clients try until recover_s after the machine is back; what counts are the
// last 4 s.
constexpr milliseconds kRecover{12000};
constexpr milliseconds kLastTime{4000};
constexpr milliseconds kTimeLimit{4000};
constexpr milliseconds kAim{20000};
// A client has one retry, and a program sends a turn that has failed again at
// most twice.
constexpr int kTriesOfOneProgram = 6;
constexpr milliseconds kTryPause{250};
constexpr int kTriesThatCount = 5;

// A program with a budget of its own.
struct Program {
  std::string name;
  int requests = 0;
  std::chrono::steady_clock::time_point started =
      std::chrono::steady_clock::now();
};

// A turn that was answered whole, and how it went to go on from it.
struct KeptTurn {
  std::string id;
  int programs = 0;    // That tried.
  int late_tries = 0;  // In the last 4 s.
  bool goes_on = false;
};

Answer SendTurn(Fiber& fiber,
                Fleet& fleet,
                Program& program,
                const std::string& zone,
                const std::string& previous) {
  Attempt turn;
  turn.path = "/chat/stream/x";
  turn.id = program.name + "-turn-" + std::to_string(++program.requests);
  turn.body = "input of " + turn.id;
  const auto left = std::chrono::duration_cast<milliseconds>(
      program.started + kAim - std::chrono::steady_clock::now());
  turn.headers = {{"Program-Id", program.name},
                  {"Session-Id", program.name},
                  {"Finish-Deadline-Ms", std::to_string(left.count())},
                  {"Token-Budget", "1000"},
                  {"Token-Usage", "100,16"},
                  {"Prompt-Prefix", PromptParts(program.name)},
                  {"Model-Id", "m"}};
  if (!previous.empty()) {
    turn.headers.push_back({"Previous-Turn", previous});
  }
  return fleet.Send(fiber, fleet.FrontOf(zone), turn);
}

// New programs go on from the turn, one after the other, until one can or the
// time is over.
void GoOn(Fiber& fiber,
          Fleet& fleet,
          KeptTurn& turn,
          std::chrono::steady_clock::time_point until) {
  const std::vector<std::string> zones = {"a", "b", "c"};
  std::size_t tries = 0;
  while (std::chrono::steady_clock::now() < until && !turn.goes_on) {
    Program program;
    program.name = "from-" + turn.id + "-" + std::to_string(++turn.programs);
    while (std::chrono::steady_clock::now() < until && !turn.goes_on &&
           program.requests < kTriesOfOneProgram) {
      const bool is_late = until - std::chrono::steady_clock::now() < kLastTime;
      const auto answer = SendTurn(fiber, fleet, program,
                                   zones[tries++ % zones.size()], turn.id);
      turn.goes_on = answer.status == kOk || !answer.signature.empty();
      turn.late_tries += is_late ? 1 : 0;
      fiber.Sleep(PauseAfter(answer, kTryPause, kTimeLimit));
    }
  }
}

void StopForGood(Fiber& fiber, Fleet& fleet, Fleet::Machine& machine) {
  fleet.record().Write("SIGTERM to " + machine.name + ", which is removed");
  machine.process->Signal(SIGTERM);
  fiber.Sleep(kGrace);
  machine.process->Kill();
}

// The final fault: one machine loses its disk while all others lose power.
// With `disk_is_kept` all lose power alone.
void EndAll(Fiber& fiber, Fleet& fleet, bool disk_is_kept) {
  std::vector<Fleet::Machine*> machines{&fleet.machine("storage-a-2"),
                                        &fleet.StorageOf("b"),
                                        &fleet.StorageOf("c")};
  for (const auto* zone : {"a", "b", "c"}) {
    machines.push_back(&fleet.FrontOf(zone));
  }
  fleet.record().Write("all machines lose power");
  for (auto* it : machines) {
    it->process->Kill();
  }
  if (!disk_is_kept) {
    fleet.record().Write(fleet.StorageOf("b").name + " loses its disk");
    Fleet::Wipe(fleet.StorageOf("b"));
  }
  fiber.Sleep(kDownTime);
  for (auto* it : machines) {
    fleet.StartMachine(*it);
  }
}

int Run(Fiber& fiber, Fleet& fleet) {
  const std::vector<std::string> zones = {"a", "b", "c"};
  fleet.AddMachines(zones);
  fleet.WriteConfig(7, {{"/chat/", "streaming", "models", true, false}},
                    {{"models", true}});
  for (const auto& zone : zones) {
    fleet.AddServer({"i-" + zone, "models", zone});
  }
  if (!fleet.Start(fiber)) {
    fleet.record().Write("the deployment did not start");
    return 2;
  }
  std::vector<KeptTurn> turns(kPrograms);
  for (int n = 0; n < kPrograms; ++n) {
    Program program;
    program.name = "program-" + std::to_string(n);
    const auto answer = SendTurn(fiber, fleet, program, "a", "");
    if (answer.status != kOk || !answer.complete) {
      return 2;
    }
    turns[static_cast<std::size_t>(n)].id = program.name + "-turn-1";
  }
  auto& successor = fleet.AddStorage("a", "storage-a-2");
  successor.booted = true;
  fleet.StartMachine(successor);
  fiber.Sleep(kCatchUp);
  StopForGood(fiber, fleet, fleet.StorageOf("a"));
  fiber.Sleep(kBeforeLoss);
  if (HasTrouble()) {
    const char* trouble = std::getenv("TROUBLE");
    EndAll(fiber, fleet, trouble != nullptr && std::string(trouble) == "kept");
  }
  const auto until = std::chrono::steady_clock::now() + kRecover;
  std::size_t ended = 0;
  for (auto& it : turns) {
    fleet.loop().Spawn([&, turn = &it](Fiber& child) {
      GoOn(child, fleet, *turn, until);
      ++ended;
    });
  }
  int first_turns = 0;
  int first_served = 0;
  while (ended < turns.size()) {
    if (until - std::chrono::steady_clock::now() < kLastTime) {
      Program fresh;
      fresh.name = "new-" + std::to_string(++first_turns);
      first_served +=
          SendTurn(fiber, fleet, fresh, "c", "").status == kOk ? 1 : 0;
    }
    fiber.Sleep(milliseconds(100));
  }
  int lost = 0;
  for (const auto& it : turns) {
    const bool is_lost = !it.goes_on && it.late_tries >= kTriesThatCount;
    lost += is_lost ? 1 : 0;
    fleet.record().Write(it.id + (it.goes_on ? " goes on"
                                  : is_lost  ? " can't go on: BROKEN"
                                             : " has too few tries"));
  }
  fleet.record().Write(
      "in the last 4 s: first turns sent " + std::to_string(first_turns) +
      ", served " + std::to_string(first_served) +
      "; kept turns that can't be continued: " + std::to_string(lost) + " of " +
      std::to_string(kPrograms));
  return lost > 0 ? 1 : 0;
}

}  // namespace

int RunReplacementCase(const std::string& record_path) {
  Record record(record_path);
  return RunInLoop([&record](Fiber& fiber, Loop& loop) {
    auto fleet = std::make_unique<Fleet>(loop, record);
    const int out = Run(fiber, *fleet);
    record.Write("exit code " + std::to_string(out));
    fleet->EndProcesses();
    static_cast<void>(fleet.release());
    return out;
  });
}

}  // namespace comfreyfold::review
