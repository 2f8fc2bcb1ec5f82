#ifndef TOOL_CONTRACT_COMMANDS_H_
#define TOOL_CONTRACT_COMMANDS_H_

#include "tool/command.h"

namespace comfreyfold {

// comfreyfold validate FILE...: checks contracts without any connection.
Command ValidateCommand();

// comfreyfold diff FILE...: what an apply would change, key by key.
Command DiffCommand();

// comfreyfold get [CUSTOMER...]: contracts as they are stored.
Command GetCommand();

// comfreyfold remove CUSTOMER...: takes contracts out of force.
Command RemoveCommand();

}  // namespace comfreyfold

#endif  // TOOL_CONTRACT_COMMANDS_H_
