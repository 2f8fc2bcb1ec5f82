#ifndef TOOL_DAEMON_LIST_H_
#define TOOL_DAEMON_LIST_H_

#include <string>
#include <vector>

#include "net/http_client.h"
#include "tool/command.h"

namespace comfreyfold {

// The daemons to ask: those of the command line, or else all that are
// registered at the key-value service. Throws std::runtime_error when
// neither is given.
std::vector<std::string> DaemonAddresses(CommandContext& context,
                                         HttpClient& http);

}  // namespace comfreyfold

#endif  // TOOL_DAEMON_LIST_H_
