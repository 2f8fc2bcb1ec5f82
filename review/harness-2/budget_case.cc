#include "budget_case.h"

#include <algorithm>
#include <vector>

#include "fleet.h"

namespace comfreyfold::review {

namespace {

using std::chrono::milliseconds;

constexpr int kBudget = 64;
constexpr int kMostOfOneTurn = 16;
constexpr int kTokensPerEvent = 4;
constexpr int kBudgetSpent = 402;
constexpr int kProgramsPerWay = 2;
// A program that loops sends a turn twice more after a 402, then stops. It may
// return within retention_s (60 s).
constexpr int kTriesAfterSpent = 3;
constexpr int kMaxTurns = 12;
constexpr milliseconds kTurnPause{150};
constexpr milliseconds kTimeLimit{4000};
// By when the program should be finished, from its start.
constexpr milliseconds kAim{110000};
constexpr milliseconds kFirstReturn{45000};
constexpr milliseconds kSecondReturn{97000};
constexpr milliseconds kKillBeforeReturn{1200};
constexpr milliseconds kDownTime{2800};

struct Program {
  std::string name;
  std::string first_zone;
  std::string later_zone;
  std::chrono::steady_clock::time_point started =
      std::chrono::steady_clock::now();
  int requests = 0;
  int tokens = 0;  // Handed to clients, in complete events.
  int spent_answers = 0;
  bool stopped = false;
  bool has_run = false;
};

// Sends turns until the program has been told three times that its budget is
// spent.
void LoopProgram(Fiber& fiber,
                 Fleet& fleet,
                 Program& program,
                 const std::string& zone) {
  int spent = 0;
  for (int n = 0; n < kMaxTurns && spent < kTriesAfterSpent; ++n) {
    Attempt turn;
    turn.path = "/chat/stream/x";
    turn.id = program.name + "-turn-" + std::to_string(++program.requests);
    turn.body = "input of " + turn.id;
    const auto left = std::chrono::duration_cast<milliseconds>(
        program.started + kAim - std::chrono::steady_clock::now());
    turn.headers = {{"Program-Id", program.name},
                    {"Session-Id", turn.id},
                    {"Finish-Deadline-Ms", std::to_string(left.count())},
                    {"Token-Budget", std::to_string(kBudget)},
                    {"Token-Usage", "100," + std::to_string(kMostOfOneTurn)},
                    {"Prompt-Prefix", PromptParts(turn.id)},
                    {"Model-Id", "m"}};
    const auto answer = fleet.Send(fiber, fleet.FrontOf(zone), turn);
    program.tokens += static_cast<int>(answer.events.size()) * kTokensPerEvent;
    program.has_run = program.has_run || !answer.events.empty();
    spent += answer.status == kBudgetSpent ? 1 : 0;
    program.spent_answers += answer.status == kBudgetSpent ? 1 : 0;
    fiber.Sleep(PauseAfter(answer, kTurnPause, kTimeLimit));
  }
}

void LoopAll(Fiber& fiber,
             Fleet& fleet,
             std::vector<Program>& programs,
             const std::function<std::string(const Program&)>& zone_of) {
  std::size_t ended = 0;
  for (auto& it : programs) {
    fleet.loop().Spawn([&, program = &it](Fiber& child) {
      LoopProgram(child, fleet, *program, zone_of(*program));
      ++ended;
    });
  }
  while (ended < programs.size()) {
    fiber.Sleep(milliseconds(20));
  }
}

void SleepUntil(Fiber& fiber,
                std::chrono::steady_clock::time_point start,
                milliseconds time) {
  while (std::chrono::steady_clock::now() < start + time) {
    fiber.Sleep(milliseconds(50));
  }
}

int Run(Fiber& fiber, Fleet& fleet) {
  const std::vector<std::string> zones = {"a", "b", "c"};
  fleet.AddMachines(zones);
  RouteSpec route{"/chat/", "streaming", "models", true, false};
  fleet.WriteConfig(7, {route}, {{"models", true}});
  for (const auto& zone : zones) {
    fleet.AddServer({"i-" + zone, "models", zone});
  }
  if (!fleet.Start(fiber)) {
    fleet.record().Write("the deployment did not start");
    return 2;
  }
  const auto members = fleet.MembersInOrder();
  std::vector<Program> programs;
  for (std::size_t n = 0; n < zones.size(); ++n) {
    for (int copy = 0; copy < kProgramsPerWay; ++copy) {
      Program program;
      program.first_zone = zones[n];
      program.later_zone = zones[(n + 1) % zones.size()];
      program.name = "program-" + zones[n] + std::to_string(copy);
      programs.push_back(program);
    }
  }
  const auto start = std::chrono::steady_clock::now();
  fleet.record().Write("the programs loop");
  LoopAll(fiber, fleet, programs,
          [](const Program& it) { return it.first_zone; });
  SleepUntil(fiber, start, kFirstReturn);
  fleet.record().Write("the stopped programs return in another zone");
  LoopAll(fiber, fleet, programs,
          [](const Program& it) { return it.later_zone; });
  for (const auto& it : programs) {
    if (it.tokens != kBudget || it.spent_answers == 0) {
      fleet.record().Write(it.name + " has not spent its budget as expected");
    }
  }
  SleepUntil(fiber, start, kSecondReturn - kKillBeforeReturn);
  auto& victim = fleet.machine(members.front());
  const auto killed_at = std::chrono::steady_clock::now();
  if (HasTrouble()) {
    fleet.record().Write("SIGKILL to " + victim.name);
    victim.process->Kill();
    fleet.loop().Spawn([&fleet, &victim](Fiber& child) {
      child.Sleep(kDownTime);
      fleet.StartMachine(victim);
    });
  }
  SleepUntil(fiber, start, kSecondReturn);
  fleet.record().Write("the stopped programs return once more");
  LoopAll(fiber, fleet, programs,
          [](const Program& it) { return it.later_zone; });
  SleepUntil(fiber, killed_at, kDownTime + milliseconds(300));
  int broken = 0;
  for (const auto& it : programs) {
    const bool over = it.tokens > kBudget + kMostOfOneTurn;
    broken += over ? 1 : 0;
    fleet.record().Write(it.name + ": budget " + std::to_string(kBudget) +
                         ", one turn " + std::to_string(kMostOfOneTurn) +
                         ", handed to clients " + std::to_string(it.tokens) +
                         (over ? ": BROKEN" : ": held"));
    if (!it.has_run) {
      return 2;
    }
  }
  return broken > 0 ? 1 : 0;
}

}  // namespace

int RunBudgetCase(const std::string& record_path) {
  Record record(record_path);
  return RunInLoop([&record](Fiber& fiber, Loop& loop) {
    auto fleet = std::make_unique<Fleet>(loop, record);
    const int out = Run(fiber, *fleet);
    record.Write("exit code " + std::to_string(out));
    // Ends all processes; the coroutines that remain refer to the fleet.
    fleet->EndProcesses();
    static_cast<void>(fleet.release());
    return out;
  });
}

}  // namespace comfreyfold::review
