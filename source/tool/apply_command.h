#ifndef TOOL_APPLY_COMMAND_H_
#define TOOL_APPLY_COMMAND_H_

#include "tool/command.h"

namespace comfreyfold {

// comfreyfold apply FILE...: puts contracts in force.
Command ApplyCommand();

}  // namespace comfreyfold

#endif  // TOOL_APPLY_COMMAND_H_
