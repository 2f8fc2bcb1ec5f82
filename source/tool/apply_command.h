#ifndef TOOL_APPLY_COMMAND_H_
#define TOOL_APPLY_COMMAND_H_

#include "tool/command.h"

namespace comfreyfold {

// comfreyfold apply FILE...: writes contracts to the key-value service and
// waits until every daemon has them in force.
Command ApplyCommand();

}  // namespace comfreyfold

#endif  // TOOL_APPLY_COMMAND_H_
