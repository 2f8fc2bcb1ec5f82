// A disk is lost. Conversations whose first turn is older than the retention
// cannot be continued, although their latest turn is not.

#include <algorithm>

#include "review/harness/fleet.h"

namespace comfreyfold::review {
namespace {

using std::chrono::milliseconds;

constexpr int kConversations = 40;
// Pause between two turns of a conversation; shorter than retention_s (30 s).
constexpr milliseconds kPause{26000};
// From the first turns to the loss: retention_s and the 30 s for which the
// code keeps records beyond it, and a margin.
constexpr milliseconds kLossAt{64500};
// `catch_up_s` (4.4 s) and `contact_ms` (3 s) after the disk is back.
constexpr milliseconds kCatchUp{8000};
// A client repeats an attempt once, and a turn that failed twice, which makes
// six tries. It waits for the time that the answer asks for, at least 0.25 s
// (the pages: .1 to .4 s).
constexpr int kTries = 5;
constexpr milliseconds kRepeat{250};
constexpr int kLanes = 8;  // Conversations that go on at the same time.

int Run(Fiber& fiber, Fleet& fleet, Record& record, bool trouble) {
  std::vector<Machine*> disks;
  std::vector<Machine*> fronts;
  for (const char* it : {"a", "b", "c"}) {
    disks.push_back(
        &fleet.AddDisk(std::string("disk-") + it, std::string("mit-") + it));
  }
  for (const char* it : {"a", "b", "c"}) {
    fronts.push_back(
        &fleet.AddFront(std::string("front-") + it, std::string("mit-") + it));
  }
  fleet.WriteConfig();
  fleet.AddServer("i-model-1", "models");
  fleet.AddServer("i-model-2", "models");
  fleet.AddServer("i-model-3", "models");
  for (auto* it : disks) {
    fleet.Start(*it, true);
  }
  for (auto* it : fronts) {
    fleet.Start(*it, true);
  }
  if (!fleet.AwaitMembers(fiber, 3, milliseconds(15000))) {
    throw CannotRun("the disks did not form a list");
  }
  for (auto* it : fronts) {
    if (!fleet.AwaitReady(fiber, *it, milliseconds(15000))) {
      throw CannotRun("a daemon did not become ready");
    }
  }
  fiber.Sleep(milliseconds(1500));

  const auto start = record.Elapsed();
  const auto sleep_until = [&](milliseconds at) {
    fiber.Sleep(std::max(milliseconds(1), start + at - record.Elapsed()));
  };
  const auto turn_of = [&](int n, int number) {
    Fleet::Turn turn;
    turn.program = "p" + std::to_string(n);
    turn.session = "s" + std::to_string(n);
    turn.id = turn.program + "-" + std::to_string(number);
    if (number > 1) {
      turn.previous = turn.program + "-" + std::to_string(number - 1);
    }
    turn.input = "input " + std::to_string(number) + "\n";
    return turn;
  };
  // Turns 1 to 3 of each conversation.
  milliseconds last_answered{0};
  for (int number = 1; number <= 3; ++number) {
    sleep_until((number - 1) * kPause);
    for (int n = 0; n < kConversations; ++n) {
      const auto answer = fleet.SendTurn(fiber, *fronts[0], turn_of(n, number));
      if (answer.status != 200 || !answer.complete) {
        throw CannotRun("a turn was not answered before the disruption");
      }
      if (number == 3 && n == 0) {
        last_answered = record.Elapsed();
      }
    }
  }
  sleep_until(kLossAt);
  if (trouble) {
    fleet.Kill(*disks[0], "its machine restarts without its disk");
    fleet.Wipe(*disks[0]);
    fiber.Sleep(milliseconds(500));
    fleet.Start(*disks[0], false);
  }
  fiber.Sleep(kCatchUp);

  // The conversations go on through another zone.
  int served = 0;
  int unreachable = 0;
  int first_turns = 0;
  int running = 0;
  const auto go_on = [&](Fiber& lane, int n) {
    auto turn = turn_of(n, 4);
    bool reached = false;
    for (int tries = 1; !reached && tries <= kTries; ++tries) {
      turn.id = turn.program + "-4-try-" + std::to_string(tries);
      const auto answer = fleet.SendTurn(
          lane, *fronts[1 + static_cast<std::size_t>(tries) % 2], turn);
      reached = std::any_of(
          fleet.runs().begin(), fleet.runs().end(),
          [&turn](const auto& it) { return it.request_id == turn.id; });
      if (!reached) {
        lane.Sleep(std::max(kRepeat, answer.retry_after));
      }
    }
    ++(reached ? served : unreachable);
    Fleet::Turn first;
    first.id = "new-" + std::to_string(n);
    first.program = first.id;
    first.session = first.id;
    first.input = "hello\n";
    first_turns +=
        fleet.SendTurn(lane, *fronts[1], first).status == 200 ? 1 : 0;
  };
  for (int lane = 0; lane < kLanes; ++lane) {
    ++running;
    fleet.loop().Spawn([&, lane](Fiber& child) {
      for (int n = lane; n < kConversations; n += kLanes) {
        go_on(child, n);
      }
      --running;
    });
  }
  while (running > 0) {
    fiber.Sleep(milliseconds(50));
  }
  if (record.Elapsed() - last_answered > milliseconds(30000)) {
    throw CannotRun("too slow: the retention of the third turns is over");
  }
  record.Write(
      "conversations: " + std::to_string(kConversations) +
      "; whose fourth turn reached a server: " + std::to_string(served) +
      ", reached none in " + std::to_string(kTries) +
      " tries: " + std::to_string(unreachable) +
      "; first turns served: " + std::to_string(first_turns));
  if (first_turns * 10 < kConversations * 9) {
    throw CannotRun("fewer than nine tenths of first turns reached a server");
  }
  return unreachable > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace
}  // namespace comfreyfold::review

int main() {
  return comfreyfold::review::RunCase({}, comfreyfold::review::Run);
}
