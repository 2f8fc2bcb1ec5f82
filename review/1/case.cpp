// A server registration of another writer, one field of which is a nested
// array, ends the daemons that read it.

#include <algorithm>
#include <map>

#include "review/harness/fleet.h"

namespace comfreyfold::review {
namespace {

using std::chrono::milliseconds;

// The entry then has 40 KB; the limit is 1 MiB (`value_bytes`).
constexpr int kDepth = 20000;

int Run(Fiber& fiber, Fleet& fleet, Record& record, bool trouble) {
  std::vector<Machine*> machines;
  for (const char* it : {"a", "b", "c"}) {
    machines.push_back(
        &fleet.AddDisk(std::string("disk-") + it, std::string("mit-") + it));
  }
  for (const char* it : {"a", "b", "c"}) {
    machines.push_back(
        &fleet.AddFront(std::string("front-") + it, std::string("mit-") + it));
  }
  fleet.WriteConfig();
  fleet.AddServer("i-model", "models");
  fleet.AddServer("i-tool", "tools");
  for (auto* it : machines) {
    fleet.Start(*it, true);
  }
  if (!fleet.AwaitMembers(fiber, 3, milliseconds(15000))) {
    throw CannotRun("the disks did not form a list");
  }
  for (int n = 3; n < 6; ++n) {
    if (!fleet.AwaitReady(fiber, *machines[n], milliseconds(15000))) {
      throw CannotRun("a daemon did not become ready");
    }
  }
  int answered = 0;
  for (int n = 0; n < 3; ++n) {
    Fleet::Turn turn;
    turn.id = "before-" + std::to_string(n);
    turn.program = "p" + std::to_string(n);
    turn.session = turn.program;
    turn.input = "hello";
    answered += fleet.SendTurn(fiber, *machines[3 + n], turn).status == 200;
  }
  if (answered != 3) {
    throw CannotRun("turns are not answered before the disruption");
  }
  if (trouble) {
    record.Write(
        "another writer puts servers/i-other, whose field 'service' "
        "is an array nested " +
        std::to_string(kDepth) + " deep");
    fleet.store().Put(
        "servers/i-other",
        R"({"address":"127.0.0.1:1","zone":"mit-a","version":"v1","slots":4,)"
        R"("state":"ready","cold_remaining_ms":0,"seq":1,"born":1,"service":)" +
            std::string(kDepth, '[') + std::string(kDepth, ']') + "}");
  }
  // Each daemon that ends is started again, as the platform does it.
  std::map<std::string, int> ends;
  const auto end = record.Elapsed() + milliseconds(20000);
  while (record.Elapsed() < end) {
    for (auto* it : machines) {
      if (Fleet::HasEnded(*it)) {
        ++ends[it->name];
        record.Write(it->name + " has ended by itself, " + Fleet::EndOf(*it));
        fiber.Sleep(milliseconds(300));
        fleet.Start(*it, false);
      }
    }
    fiber.Sleep(milliseconds(50));
  }
  answered = 0;
  for (int n = 0; n < 3; ++n) {
    Fleet::Turn turn;
    turn.id = "after-" + std::to_string(n);
    turn.program = "q" + std::to_string(n);
    turn.session = turn.program;
    turn.input = "hello";
    answered += fleet.SendTurn(fiber, *machines[3 + n], turn).status == 200;
  }
  for (const auto& [name, n] : ends) {
    record.Write(name + " ended by itself " + std::to_string(n) + " times");
  }
  record.Write("turns answered afterwards: " + std::to_string(answered) +
               " of 3");
  // Of six machines a tenth is less than two, so two are needed.
  const auto often = std::count_if(
      ends.begin(), ends.end(), [](const auto& it) { return it.second >= 3; });
  return often >= 2 ? kRuleBroken : kRuleHeld;
}

}  // namespace
}  // namespace comfreyfold::review

int main() {
  return comfreyfold::review::RunCase({}, comfreyfold::review::Run);
}
