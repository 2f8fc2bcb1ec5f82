#include "tool/apply_command.h"
#include "tool/command.h"
#include "tool/timeline_command.h"

namespace comfreyfold {

std::vector<Command> AllCommands() {
  return {ApplyCommand(), TimelineCommand()};
}

}  // namespace comfreyfold
