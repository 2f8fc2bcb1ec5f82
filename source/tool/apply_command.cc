#include "tool/apply_command.h"

#include <iostream>

#include "net/http_client.h"
#include "tool/change_report.h"

namespace comfreyfold {

namespace {

constexpr std::chrono::seconds kKvTimeout{2};

int Apply(CommandContext& context) {
  if (context.arguments.empty()) {
    std::cerr << "apply: name one or more contract files\n";
    return kExitUsage;
  }
  // Faults in the files are told before anything is asked.
  ReadContractFiles(context.arguments, {});
  HttpClient http(context.fiber.loop());
  KvClient kv(http, KeyValueOf(context), kKvTimeout);
  const auto stored = ReadContracts(context.fiber, kv);
  auto edit = ReadContractFiles(context.arguments, stored);
  return RunChange(context, http, kv, stored, std::move(edit));
}

}  // namespace

Command ApplyCommand() {
  return {"apply",
          "apply [--dry-run] FILE...",
          "Checks contracts, shows what they change, writes them as one "
          "change, and waits until every daemon has them in force.",
          "comfreyfold --config tool.ini apply contracts/*.ini",
          Apply,
          {{"--dry-run", "show what would change and write nothing"},
           {"--wait SECONDS", "how long daemons may take to confirm"}},
          ChangeExitCodes()};
}

}  // namespace comfreyfold
