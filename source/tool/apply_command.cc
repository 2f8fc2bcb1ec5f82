#include "tool/apply_command.h"

#include <iostream>

#include "net/http_client.h"
#include "tool/change_report.h"

namespace comfreyfold {

namespace {

constexpr std::chrono::seconds kKvTimeout{2};

int Apply(CommandContext& context) {
  if (context.arguments.empty()) {
    std::cerr << "apply: expected one or more contract files\n";
    return kExitUsage;
  }
  // Checks the files first, so that their faults are reported without a
  // connection to the key-value service.
  ReadContractFiles(context.arguments, {});
  HttpClient http(context.fiber.loop());
  KvClient kv(http, RequireKeyValueAddress(context), kKvTimeout);
  const auto stored = ReadContracts(context.fiber, kv);
  auto edit = ReadContractFiles(context.arguments, stored);
  return RunContractChange(context, http, kv, stored, std::move(edit));
}

}  // namespace

Command ApplyCommand() {
  return {"apply",
          "apply [--dry-run] FILE...",
          "Checks the contract files, shows what they change, writes them in "
          "one transaction, and waits until every daemon has them in force.",
          "comfreyfold --config tool.ini apply contracts/*.ini",
          Apply,
          {{"--dry-run", "show the differences without writing them"},
           {"--wait SECONDS", "how long to wait for the daemons to confirm"}},
          ChangeExitCodes()};
}

}  // namespace comfreyfold
