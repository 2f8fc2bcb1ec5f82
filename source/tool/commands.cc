#include "tool/apply_command.h"
#include "tool/command.h"
#include "tool/contract_commands.h"
#include "tool/fleet_commands.h"
#include "tool/timeline_command.h"

namespace comfreyfold {

std::vector<Command> AllCommands() {
  return {ValidateCommand(), DiffCommand(),    ApplyCommand(),
          GetCommand(),      RemoveCommand(),  StatusCommand(),
          ProgramsCommand(), TimelineCommand()};
}

}  // namespace comfreyfold
