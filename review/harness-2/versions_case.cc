#include "versions_case.h"

#include <map>
#include <set>
#include <vector>

#include "fleet.h"

namespace comfreyfold::review {

namespace {

using std::chrono::milliseconds;

constexpr int kServersPerZone = 4;
constexpr int kClientsPerFront = 6;
constexpr int kRounds = 2;
constexpr int kMostTokens = 64;  // 16 events.
constexpr milliseconds kTimeLimit{4000};
constexpr milliseconds kClientPause{60};
constexpr milliseconds kWarmUp{3000};
constexpr milliseconds kAim{20000};
// A server is down for this long, serves as the new version for kUpTime, and
// crashes.
constexpr milliseconds kDownTime{100};
constexpr milliseconds kUpTime{600};
constexpr milliseconds kCrashDownTime{1000};
constexpr milliseconds kBetweenServers{4500};
constexpr int kMostMixed = 2;

struct Clients {
  bool stop = false;
  int running = 0;
  int next = 0;
  int streams = 0;
  int resumed = 0;
  int mixed = 0;
};

std::string VersionOf(const std::string& data) {
  return data.substr(0, data.find(' '));
}

// One stream, with one retry that takes it up where it broke off.
void RunStream(Fiber& fiber,
               Fleet& fleet,
               Clients& clients,
               const std::string& first_zone,
               const std::string& other_zone) {
  const auto started = std::chrono::steady_clock::now();
  const auto name = "s" + std::to_string(++clients.next);
  Attempt attempt;
  attempt.path = "/draft/stream/x";
  attempt.id = name + "-1";
  attempt.body = "prompt of " + name;
  attempt.headers = {{"Program-Id", "program-" + name},
                     {"Session-Id", name},
                     {"Finish-Deadline-Ms", std::to_string(kAim.count())},
                     {"Token-Budget", "1000"},
                     {"Token-Usage", "100," + std::to_string(kMostTokens)},
                     {"Prompt-Prefix", PromptParts(name)},
                     {"Model-Id", "m"}};
  auto answer = fleet.Send(fiber, fleet.FrontOf(first_zone), attempt);
  auto events = answer.events;
  if (answer.status == 200 && !answer.complete && !answer.events.empty()) {
    ++clients.resumed;
    auto again = attempt;
    again.id = name + "-2";
    again.headers.push_back({"Last-Event-Id", answer.last_event_id});
    again.headers.push_back({"Resumes", attempt.id});
    const auto passed = std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - started);
    again.time_limit = kTimeLimit - passed;
    for (auto& it : again.headers) {
      if (it.name == "Finish-Deadline-Ms") {
        it.value = std::to_string((kAim - passed).count());
      }
    }
    answer = fleet.Send(fiber, fleet.FrontOf(other_zone), again);
    events.insert(events.end(), answer.events.begin(), answer.events.end());
  }
  ++clients.streams;
  std::set<std::string> versions;
  std::string text;
  for (const auto& it : events) {
    versions.insert(VersionOf(it));
    text += " | " + it;
  }
  if (versions.size() > 1) {
    ++clients.mixed;
    fleet.record().Write("MIXED " + name + ":" + text);
  }
}

void RunClient(Fiber& fiber,
               Fleet& fleet,
               Clients& clients,
               const std::string& zone,
               const std::string& other_zone) {
  while (!clients.stop) {
    RunStream(fiber, fleet, clients, zone, other_zone);
    fiber.Sleep(kClientPause);
  }
  --clients.running;
}

void Crash(Fleet& fleet, Fleet::Server& server) {
  fleet.record().Write("SIGKILL to server " + server.spec.id);
  server.process->Kill();
  server.process.reset();
}

int Run(Fiber& fiber, Fleet& fleet) {
  const std::vector<std::string> zones = {"a", "b", "c"};
  fleet.AddMachines(zones);
  RouteSpec route{"/draft/", "streaming", "models", false, true};
  fleet.WriteConfig(7, {route}, {{"models", true}});
  std::vector<std::string> servers;
  for (int n = 1; n <= kServersPerZone; ++n) {
    for (const auto& zone : zones) {
      servers.push_back("i-" + zone + std::to_string(n));
      fleet.AddServer({servers.back(), "models", zone, "v1", 16, {}});
    }
  }
  if (!fleet.Start(fiber)) {
    fleet.record().Write("the deployment did not start");
    return 2;
  }
  Clients clients;
  for (std::size_t n = 0; n < zones.size(); ++n) {
    for (int copy = 0; copy < kClientsPerFront; ++copy) {
      ++clients.running;
      fleet.loop().Spawn([&, n](Fiber& child) {
        RunClient(child, fleet, clients, zones[n],
                  zones[(n + 1) % zones.size()]);
      });
    }
  }
  fiber.Sleep(kWarmUp);
  // Two releases, one server after the other; the last ones stay.
  servers.resize(servers.size() - zones.size());
  for (int round = 0; round < kRounds; ++round) {
    for (const auto& id : servers) {
      auto& server = fleet.server(id);
      Crash(fleet, server);
      fiber.Sleep(kDownTime);
      if (HasTrouble()) {
        server.spec.version = "v" + std::to_string(round + 2);
      }
      fleet.StartServer(server);
      fiber.Sleep(kUpTime);
      Crash(fleet, server);
      fiber.Sleep(kCrashDownTime);
      fleet.StartServer(server);
      fiber.Sleep(kBetweenServers - kCrashDownTime);
    }
  }
  clients.stop = true;
  while (clients.running > 0) {
    fiber.Sleep(milliseconds(20));
  }
  fleet.record().Write("streams " + std::to_string(clients.streams) +
                       ", taken up " + std::to_string(clients.resumed) +
                       ", with events of two versions " +
                       std::to_string(clients.mixed));
  if (clients.streams == 0 || clients.resumed == 0) {
    return 2;
  }
  return clients.mixed > kMostMixed ? 1 : 0;
}

}  // namespace

int RunVersionsCase(const std::string& record_path) {
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
