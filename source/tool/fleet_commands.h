#ifndef TOOL_FLEET_COMMANDS_H_
#define TOOL_FLEET_COMMANDS_H_

#include "tool/command.h"

namespace comfreyfold {

// comfreyfold status: shows the state of every daemon and reports those that
// do not answer.
Command StatusCommand();

// comfreyfold programs CUSTOMER: lists the programs of a customer.
Command ProgramsCommand();

}  // namespace comfreyfold

#endif  // TOOL_FLEET_COMMANDS_H_
