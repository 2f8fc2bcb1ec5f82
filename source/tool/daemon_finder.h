#ifndef TOOL_DAEMON_FINDER_H_
#define TOOL_DAEMON_FINDER_H_

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "net/http_client.h"
#include "tool/command.h"

namespace comfreyfold {

// A daemon that commands can query.
struct DaemonAddress {
  std::string daemon;  // Id; empty if only the address was given.
  std::string address;

  // The id, or the address if the id is unknown.
  std::string label() const { return daemon.empty() ? address : daemon; }
};

// Returns the daemons given by --daemons, or, if there are none, the members
// registered in the key-value service. Throws std::runtime_error if there are
// no members either.
std::vector<DaemonAddress> FindDaemons(CommandContext& context,
                                       HttpClient& http);

// Sends GET `target` to a daemon. Returns the JSON of its reply, or nothing if
// the request fails or the reply is not a 200 with JSON.
std::optional<nlohmann::json> QueryDaemon(Fiber& fiber,
                                          HttpClient& http,
                                          const std::string& address,
                                          const std::string& target);

}  // namespace comfreyfold

#endif  // TOOL_DAEMON_FINDER_H_
