#ifndef TOOL_DAEMON_FINDER_H_
#define TOOL_DAEMON_FINDER_H_

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "net/http_client.h"
#include "tool/command.h"

namespace comfreyfold {

// One daemon to ask.
struct DaemonAddress {
  std::string daemon;  // Empty when only its address was given.
  std::string address;

  // The name an operator knows it by.
  std::string label() const { return daemon.empty() ? address : daemon; }
};

// The daemons of --daemons, or else the members that the key-value service
// lists. Throws std::runtime_error when neither tells of any.
std::vector<DaemonAddress> FindDaemons(CommandContext& context,
                                       HttpClient& http);

// The JSON answer of a daemon to GET `target`; empty when it does not
// answer.
std::optional<nlohmann::json> AskDaemon(Fiber& fiber,
                                        HttpClient& http,
                                        const std::string& address,
                                        const std::string& target);

}  // namespace comfreyfold

#endif  // TOOL_DAEMON_FINDER_H_
