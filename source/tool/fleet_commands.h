#ifndef TOOL_FLEET_COMMANDS_H_
#define TOOL_FLEET_COMMANDS_H_

#include "tool/command.h"

namespace comfreyfold {

// comfreyfold status: every daemon, and who is missing.
Command StatusCommand();

// comfreyfold programs CUSTOMER: the programs of one customer.
Command ProgramsCommand();

}  // namespace comfreyfold

#endif  // TOOL_FLEET_COMMANDS_H_
