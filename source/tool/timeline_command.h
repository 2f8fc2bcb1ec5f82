#ifndef TOOL_TIMELINE_COMMAND_H_
#define TOOL_TIMELINE_COMMAND_H_

#include "tool/command.h"

namespace comfreyfold {

// comfreyfold timeline PROGRAM: merges the events of a program from all
// daemons.
Command TimelineCommand();

}  // namespace comfreyfold

#endif  // TOOL_TIMELINE_COMMAND_H_
