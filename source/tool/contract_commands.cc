#include "tool/contract_commands.h"

#include <iostream>

#include <nlohmann/json.hpp>

#include "core/placement.h"
#include "net/http_client.h"
#include "tool/change_report.h"
#include "tool/tool_settings.h"

namespace comfreyfold {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds kKvTimeout{2};

// Returns the faults of a file, or nothing if it holds a valid contract or
// placement.
std::vector<IniFault> FaultsOf(const std::string& file) {
  try {
    const auto text = ReadTextFile(file);
    if (IsPlacement(text)) {
      ParsePlacement(text, file);
    } else {
      ParseContract(text, file);
    }
  } catch (const IniError& e) {
    return e.faults();
  }
  return {};
}

int Validate(CommandContext& context) {
  if (context.arguments.empty()) {
    std::cerr << "validate: expected one or more contract files\n";
    return kExitUsage;
  }
  json faults = json::array();
  for (const auto& file : context.arguments) {
    for (const auto& it : FaultsOf(file)) {
      faults.push_back(
          {{"file", it.file}, {"line", it.line}, {"message", it.message}});
      if (!context.json) {
        std::cerr << it.file << ":" << it.line << ": " << it.message << "\n";
      }
    }
  }
  if (context.json) {
    std::cout << json{{"valid", faults.empty()}, {"faults", faults}}.dump()
              << "\n";
  } else if (faults.empty()) {
    std::cout << context.arguments.size() << " contracts are valid\n";
  }
  if (faults.empty()) {
    // Checks across files, such as a customer or an API key that is used twice.
    ReadContractFiles(context.arguments, {});
  }
  return faults.empty() ? kExitOk : kExitFailed;
}

int Diff(CommandContext& context) {
  if (context.arguments.empty()) {
    std::cerr << "diff: expected one or more contract files\n";
    return kExitUsage;
  }
  HttpClient http(context.fiber.loop());
  KvClient kv(http, RequireKeyValueAddress(context), kKvTimeout);
  const auto stored = ReadContracts(context.fiber, kv);
  const auto lines =
      DiffEdit(stored, ReadContractFiles(context.arguments, stored));
  if (context.json) {
    std::cout << json{{"revision", stored.revision},
                      {"differences", ToJson(lines)}}
                     .dump()
              << "\n";
    return kExitOk;
  }
  for (const auto& it : lines) {
    std::cout << ToLine(it) << "\n";
  }
  if (lines.empty()) {
    std::cout << "no difference from revision " << stored.revision << "\n";
  }
  return kExitOk;
}

int Get(CommandContext& context) {
  HttpClient http(context.fiber.loop());
  KvClient kv(http, RequireKeyValueAddress(context), kKvTimeout);
  const auto stored = ReadContracts(context.fiber, kv);
  json contracts = json::object();
  for (const auto& it : context.arguments) {
    const auto text = stored.texts.find(it);
    if (text == stored.texts.end()) {
      std::cerr << "get: customer '" << it
                << "' has no contract; 'comfreyfold get' lists the customers "
                   "that do\n";
      return kExitFailed;
    }
    contracts[it] = text->second;
  }
  if (context.arguments.empty()) {
    for (const auto& [customer, text] : stored.texts) {
      contracts[customer] = text;
    }
  }
  if (context.json) {
    std::cout
        << json{{"revision", stored.revision}, {"contracts", contracts}}.dump()
        << "\n";
    return kExitOk;
  }
  for (const auto& [customer, text] : contracts.items()) {
    std::cout << (context.arguments.empty() ? customer + "\n"
                                            : text.get<std::string>());
  }
  return kExitOk;
}

int Remove(CommandContext& context) {
  if (context.arguments.empty()) {
    std::cerr << "remove: expected one or more customers\n";
    return kExitUsage;
  }
  HttpClient http(context.fiber.loop());
  KvClient kv(http, RequireKeyValueAddress(context), kKvTimeout);
  const auto stored = ReadContracts(context.fiber, kv);
  ContractEdit edit;
  for (const auto& it : context.arguments) {
    if (!stored.texts.contains(it)) {
      std::cerr << "remove: customer '" << it
                << "' has no contract; 'comfreyfold get' lists the customers "
                   "that do\n";
      return kExitFailed;
    }
    edit.removals.push_back(it);
  }
  return RunContractChange(context, http, kv, stored, std::move(edit));
}

}  // namespace

Command ValidateCommand() {
  return {"validate",
          "validate FILE...",
          "Checks contract files and shows each fault with file, line, value, "
          "the allowed values and a remedy. Needs no connection.",
          "comfreyfold validate contracts/*.ini",
          Validate,
          {},
          {}};
}

Command DiffCommand() {
  return {"diff",
          "diff FILE...",
          "Shows each key that applying the files would change.",
          "comfreyfold --config tool.ini diff contracts/*.ini",
          Diff,
          {},
          {}};
}

Command GetCommand() {
  return {"get",
          "get [CUSTOMER...]",
          "Prints the contracts of the customers as they were applied; without "
          "arguments, lists the customers that have a contract.",
          "comfreyfold --config tool.ini get bandwerk",
          Get,
          {},
          {}};
}

Command RemoveCommand() {
  return {"remove",
          "remove [--dry-run] CUSTOMER...",
          "Removes the contracts of the customers on every daemon, which "
          "refuses their callers from then on.",
          "comfreyfold --config tool.ini remove bandwerk",
          Remove,
          {{"--dry-run", "show the differences without writing them"},
           {"--wait SECONDS", "how long to wait for the daemons to confirm"}},
          ChangeExitCodes()};
}

}  // namespace comfreyfold
