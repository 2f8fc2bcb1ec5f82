#include "tool/apply_command.h"
#include "tool/command.h"
#include "tool/contract_commands.h"
#include "tool/fleet_commands.h"
#include "tool/timeline_command.h"

namespace comfreyfold {

const std::string& RequireKeyValueAddress(const CommandContext& context) {
  if (context.key_value_address.empty()) {
    throw UsageError(
        "no key-value service is configured: add --kv IP:PORT, or --config "
        "with a file that sets [tool] key_value");
  }
  return context.key_value_address;
}

std::vector<Command> AllCommands() {
  return {ValidateCommand(), DiffCommand(),    ApplyCommand(),
          GetCommand(),      RemoveCommand(),  StatusCommand(),
          ProgramsCommand(), TimelineCommand()};
}

}  // namespace comfreyfold
