#ifndef TOOL_CONTRACT_COMMANDS_H_
#define TOOL_CONTRACT_COMMANDS_H_

#include "tool/command.h"

namespace comfreyfold {

// comfreyfold validate FILE...: checks contract files without a connection.
Command ValidateCommand();

// comfreyfold diff FILE...: shows which keys applying the files would change.
Command DiffCommand();

// comfreyfold get [CUSTOMER...]: prints the stored contracts.
Command GetCommand();

// comfreyfold remove CUSTOMER...: deletes contracts and waits until no daemon
// has them in force.
Command RemoveCommand();

}  // namespace comfreyfold

#endif  // TOOL_CONTRACT_COMMANDS_H_
