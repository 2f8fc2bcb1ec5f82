#ifndef TOOL_TIMELINE_COMMAND_H_
#define TOOL_TIMELINE_COMMAND_H_

#include "tool/command.h"

namespace comfreyfold {

// comfreyfold timeline PROGRAM: one program's events over all daemons.
Command TimelineCommand();

}  // namespace comfreyfold

#endif  // TOOL_TIMELINE_COMMAND_H_
