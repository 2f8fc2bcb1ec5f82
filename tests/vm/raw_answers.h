#ifndef VM_RAW_ANSWERS_H_
#define VM_RAW_ANSWERS_H_

#include <functional>
#include <string>

#include "standins/raw_server.h"
#include "vm/vm_deployment.h"

namespace comfreyfold {

// Returns the id of the request with this head, or an empty string.
std::string RequestIdOf(const std::string& head);

// Returns the start of a signed answer of status 200, up to the status and
// headers that tell whose it is. `more` holds further headers and the blank
// line.
std::string SignedHead(const std::string& id, const std::string& more);
std::string Answer(const std::string& id, const std::string& body);
// Says that the server did not run the request.
std::string Refusal(const std::string& id);

// Registers a server with the id "raw" at `address`.
void RegisterRawServer(VmDeployment& deployment, const std::string& address);

using ServeConnection = std::function<void(Fiber&, standins::RawServer::Peer&)>;
using FrontTest =
    std::function<void(Fiber&, VmDeployment&, const VmDeployment::Vm&)>;

// Runs `body` in a deployment whose only server handles each connection with
// `serve`, once that server has answered a request with the id "probe".
void WithRawServer(ServeConnection serve, const FrontTest& body);

}  // namespace comfreyfold

#endif  // VM_RAW_ANSWERS_H_
