#include "tool/fleet_commands.h"

#include <iomanip>
#include <iostream>
#include <map>
#include <optional>

#include "tool/daemon_finder.h"

namespace comfreyfold {

namespace {

using nlohmann::json;

constexpr int kNameWidth = 16;
constexpr int kAddressWidth = 22;
constexpr int kNumberWidth = 10;
constexpr int kProgramWidth = 32;

// The answers of all daemons to one question.
struct FleetAnswer {
  std::map<std::string, json> by_address;
  std::vector<DaemonAddress> missing;
};

FleetAnswer AskAll(CommandContext& context, const std::string& target) {
  HttpClient http(context.fiber.loop());
  FleetAnswer out;
  for (const auto& it : FindDaemons(context, http)) {
    auto answer = AskDaemon(context.fiber, http, it.address, target);
    if (answer) {
      out.by_address[it.address] = std::move(*answer);
    } else {
      out.missing.push_back(it);
    }
  }
  return out;
}

json MissingAsJson(const FleetAnswer& answer) {
  json out = json::array();
  for (const auto& it : answer.missing) {
    out.push_back({{"daemon", it.daemon}, {"address", it.address}});
  }
  return out;
}

int ExitCode(const FleetAnswer& answer) {
  for (const auto& it : answer.missing) {
    std::cerr << "missing: " << it.label() << " at " << it.address
              << " does not answer; look at its log or restart it\n";
  }
  return answer.missing.empty() ? kExitOk : kExitFailed;
}

void PrintStatusLine(const json& status) {
  std::cout << std::left << std::setw(kNameWidth) << status.value("daemon", "")
            << std::setw(kAddressWidth) << status.value("address", "")
            << std::setw(kNumberWidth) << status.value("data_centre", "")
            << std::setw(kNumberWidth)
            << (status.value("draining", false) ? "draining"
                : status.value("ready", false)  ? "ready"
                                                : "not ready")
            << std::right << std::setw(kNumberWidth)
            << status.value("lanes", json::array()).size()
            << std::setw(kNumberWidth)
            << status.value("contracts_revision", 0LL)
            << std::setw(kNumberWidth) << status.value("key_value_calls", 0LL)
            << "\n";
}

int Status(CommandContext& context) {
  const auto answer = AskAll(context, "/operator/status");
  if (context.json) {
    json daemons = json::array();
    for (const auto& [address, status] : answer.by_address) {
      daemons.push_back(status);
    }
    std::cout
        << json{{"daemons", daemons}, {"missing", MissingAsJson(answer)}}.dump()
        << "\n";
    return ExitCode(answer);
  }
  std::cout << std::left << std::setw(kNameWidth) << "DAEMON"
            << std::setw(kAddressWidth) << "ADDRESS" << std::setw(kNumberWidth)
            << "DC" << std::setw(kNumberWidth) << "STATE" << std::right
            << std::setw(kNumberWidth) << "LANES" << std::setw(kNumberWidth)
            << "REVISION" << std::setw(kNumberWidth) << "KV CALLS"
            << "\n";
  for (const auto& [address, status] : answer.by_address) {
    PrintStatusLine(status);
  }
  return ExitCode(answer);
}

// The newest owner's view of each program: a lane that is just moving may
// be told of by two daemons.
std::map<std::string, json> NewestPrograms(const FleetAnswer& answer) {
  std::map<std::string, json> out;
  for (const auto& [address, body] : answer.by_address) {
    for (const auto& it : body.value("programs", json::array())) {
      auto& newest = out[it.value("program", "")];
      if (newest.is_null() ||
          newest.value("epoch", 0LL) < it.value("epoch", 0LL)) {
        newest = it;
      }
    }
  }
  return out;
}

int Programs(CommandContext& context) {
  if (context.arguments.size() != 1) {
    std::cerr << "programs: name one customer\n";
    return kExitUsage;
  }
  const auto answer = AskAll(
      context, "/operator/programs?customer=" + context.arguments.front());
  const auto programs = NewestPrograms(answer);
  if (context.json) {
    json list = json::array();
    for (const auto& [name, program] : programs) {
      list.push_back(program);
    }
    std::cout
        << json{{"programs", list}, {"missing", MissingAsJson(answer)}}.dump()
        << "\n";
    return ExitCode(answer);
  }
  std::cout << std::left << std::setw(kProgramWidth) << "PROGRAM"
            << std::setw(kNameWidth) << "STATE" << std::setw(kNameWidth)
            << "OWNER" << std::right << std::setw(kNumberWidth) << "CALLS"
            << std::setw(kNumberWidth) << "TOKENS"
            << "\n";
  for (const auto& [name, it] : programs) {
    std::cout << std::left << std::setw(kProgramWidth) << name
              << std::setw(kNameWidth) << it.value("state", "")
              << std::setw(kNameWidth) << it.value("owner", "") << std::right
              << std::setw(kNumberWidth) << it.value("calls", 0LL)
              << std::setw(kNumberWidth) << it.value("tokens", 0LL) << "\n";
  }
  return ExitCode(answer);
}

}  // namespace

Command StatusCommand() {
  return {"status",
          "status",
          "Shows every daemon with its state, lanes and contract revision, "
          "and names those that do not answer.",
          "comfreyfold --config tool.ini status",
          Status,
          {},
          {}};
}

Command ProgramsCommand() {
  return {"programs",
          "programs CUSTOMER",
          "Lists the programs of one customer over all daemons, with their "
          "state, owner, calls and tokens.",
          "comfreyfold --config tool.ini programs bandwerk",
          Programs,
          {},
          {}};
}

}  // namespace comfreyfold
