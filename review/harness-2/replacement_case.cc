#include "replacement_case.h"

#include <algorithm>
#include <csignal>
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
constexpr milliseconds kDownTime{2000};
// Clients try until recover_s after the machine is back; what counts are the
// last 4 s.
constexpr milliseconds kRecover{12000};
constexpr milliseconds kLastTime{4000};
constexpr milliseconds kTryPause{500};
constexpr int kTriesThatCount = 5;

struct Program {
  std::string name;
  std::string kept_turn;
  int requests = 0;
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
  turn.headers = {{"Program-Id", program.name},    {"Session-Id", program.name},
                  {"Finish-Deadline-Ms", "60000"}, {"Token-Budget", "1000"},
                  {"Token-Usage", "100,16"},       {"Model-Id", "m"}};
  if (!previous.empty()) {
    turn.headers.push_back({"Previous-Turn", previous});
  }
  return fleet.Send(fiber, fleet.FrontOf(zone), turn);
}

// Tries to go on until it works or the time is over.
void GoOn(Fiber& fiber,
          Fleet& fleet,
          Program& program,
          std::chrono::steady_clock::time_point until) {
  const std::vector<std::string> zones = {"a", "b", "c"};
  while (std::chrono::steady_clock::now() < until && !program.goes_on) {
    const auto& zone =
        zones[static_cast<std::size_t>(program.requests) % zones.size()];
    const bool is_late = until - std::chrono::steady_clock::now() < kLastTime;
    const auto answer =
        SendTurn(fiber, fleet, program, zone, program.kept_turn);
    program.goes_on = answer.status == kOk;
    program.late_tries += is_late ? 1 : 0;
    fiber.Sleep(kTryPause);
  }
}

void StopForGood(Fiber& fiber, Fleet& fleet, Fleet::Machine& machine) {
  fleet.record().Write("SIGTERM to " + machine.name + ", which is removed");
  machine.process->Signal(SIGTERM);
  fiber.Sleep(kGrace);
  machine.process->Kill();
}

void LoseDisk(Fiber& fiber, Fleet& fleet, Fleet::Machine& machine) {
  fleet.record().Write(machine.name + " loses power and its disk");
  machine.process->Kill();
  Fleet::Wipe(machine);
  fiber.Sleep(kDownTime);
  fleet.StartMachine(machine);
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
  fiber.Sleep(milliseconds(500));
  std::vector<Program> programs(kPrograms);
  for (int n = 0; n < kPrograms; ++n) {
    auto& it = programs[static_cast<std::size_t>(n)];
    it.name = "program-" + std::to_string(n);
    const auto answer = SendTurn(fiber, fleet, it, "a", "");
    if (answer.status != kOk || !answer.complete) {
      return 2;
    }
    it.kept_turn = it.name + "-turn-1";
  }
  auto& successor = fleet.AddStorage("a", "storage-a-2");
  successor.booted = true;
  fleet.StartMachine(successor);
  fiber.Sleep(kCatchUp);
  StopForGood(fiber, fleet, fleet.StorageOf("a"));
  fiber.Sleep(kBeforeLoss);
  if (HasTrouble()) {
    LoseDisk(fiber, fleet, fleet.StorageOf("b"));
  }
  const auto until = std::chrono::steady_clock::now() + kRecover;
  std::size_t ended = 0;
  for (auto& it : programs) {
    fleet.loop().Spawn([&, program = &it](Fiber& child) {
      GoOn(child, fleet, *program, until);
      ++ended;
    });
  }
  int first_turns = 0;
  int first_served = 0;
  while (ended < programs.size()) {
    if (until - std::chrono::steady_clock::now() < kLastTime) {
      Program fresh;
      fresh.name = "new-" + std::to_string(++first_turns);
      first_served +=
          SendTurn(fiber, fleet, fresh, "c", "").status == kOk ? 1 : 0;
    }
    fiber.Sleep(milliseconds(100));
  }
  int lost = 0;
  for (const auto& it : programs) {
    const bool is_lost = !it.goes_on && it.late_tries >= kTriesThatCount;
    lost += is_lost ? 1 : 0;
    fleet.record().Write(it.name + (it.goes_on ? " goes on"
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
