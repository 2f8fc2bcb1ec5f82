#include "tool/apply_command.h"
#include "tool/command.h"
#include "tool/contract_commands.h"
#include "tool/fleet_commands.h"
#include "tool/timeline_command.h"

namespace comfreyfold {

const std::string& KeyValueOf(const CommandContext& context) {
  if (context.key_value.empty()) {
    throw UsageError(
        "no key-value service is named: add --kv IP:PORT, or --config with a "
        "file that has [tool] key_value");
  }
  return context.key_value;
}

std::vector<Command> AllCommands() {
  return {ValidateCommand(), DiffCommand(),    ApplyCommand(),
          GetCommand(),      RemoveCommand(),  StatusCommand(),
          ProgramsCommand(), TimelineCommand()};
}

}  // namespace comfreyfold
