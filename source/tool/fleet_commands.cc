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

// The replies of all daemons to the same request.
struct FleetReplies {
  std::map<std::string, json> by_address;
  std::vector<DaemonAddress> missing;  // Daemons that did not reply.
};

FleetReplies QueryDaemons(CommandContext& context, const std::string& target) {
  HttpClient http(context.fiber.loop());
  FleetReplies out;
  for (const auto& it : FindDaemons(context, http)) {
    auto reply = QueryDaemon(context.fiber, http, it.address, target);
    if (reply) {
      out.by_address[it.address] = std::move(*reply);
    } else {
      out.missing.push_back(it);
    }
  }
  return out;
}

json MissingToJson(const FleetReplies& replies) {
  json out = json::array();
  for (const auto& it : replies.missing) {
    out.push_back({{"daemon", it.daemon}, {"address", it.address}});
  }
  return out;
}

// Prints the daemons that did not reply, and returns the exit code.
int ReportMissing(const FleetReplies& replies) {
  for (const auto& it : replies.missing) {
    std::cerr << "missing: " << it.label() << " at " << it.address
              << " does not answer; check its log or restart it\n";
  }
  return replies.missing.empty() ? kExitOk : kExitFailed;
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
  const auto replies = QueryDaemons(context, "/operator/status");
  if (context.json) {
    json daemons = json::array();
    for (const auto& [address, status] : replies.by_address) {
      daemons.push_back(status);
    }
    std::cout << json{{"daemons", daemons}, {"missing", MissingToJson(replies)}}
                     .dump()
              << "\n";
    return ReportMissing(replies);
  }
  std::cout << std::left << std::setw(kNameWidth) << "DAEMON"
            << std::setw(kAddressWidth) << "ADDRESS" << std::setw(kNumberWidth)
            << "DC" << std::setw(kNumberWidth) << "STATE" << std::right
            << std::setw(kNumberWidth) << "LANES" << std::setw(kNumberWidth)
            << "REVISION" << std::setw(kNumberWidth) << "KV CALLS"
            << "\n";
  for (const auto& [address, status] : replies.by_address) {
    PrintStatusLine(status);
  }
  return ReportMissing(replies);
}

// Returns each program as reported by the daemon with the highest lane epoch,
// since two daemons may report it while its lane changes owner.
std::map<std::string, json> NewestPrograms(const FleetReplies& replies) {
  std::map<std::string, json> out;
  for (const auto& [address, body] : replies.by_address) {
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
    std::cerr << "programs: expected exactly one customer\n";
    return kExitUsage;
  }
  const auto replies = QueryDaemons(
      context, "/operator/programs?customer=" + context.arguments.front());
  const auto programs = NewestPrograms(replies);
  if (context.json) {
    json list = json::array();
    for (const auto& [name, program] : programs) {
      list.push_back(program);
    }
    std::cout
        << json{{"programs", list}, {"missing", MissingToJson(replies)}}.dump()
        << "\n";
    return ReportMissing(replies);
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
  return ReportMissing(replies);
}

}  // namespace

Command StatusCommand() {
  return {"status",
          "status",
          "Shows every daemon with its state, lanes and contract revision, "
          "and reports those that do not answer.",
          "comfreyfold --config tool.ini status",
          Status,
          {},
          {}};
}

Command ProgramsCommand() {
  return {"programs",
          "programs CUSTOMER",
          "Lists the programs of a customer on all daemons, with their state, "
          "owner, calls and tokens.",
          "comfreyfold --config tool.ini programs bandwerk",
          Programs,
          {},
          {}};
}

}  // namespace comfreyfold
