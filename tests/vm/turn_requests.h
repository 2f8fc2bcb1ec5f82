#ifndef VM_TURN_REQUESTS_H_
#define VM_TURN_REQUESTS_H_

#include <functional>
#include <string>

#include "vm/vm_deployment.h"

namespace comfreyfold {

using TestBody = std::function<void(Fiber&, VmDeployment&)>;

// Runs `body` in a deployment of three disks, the daemons "front-1" and
// "front-2", which serve, and the server "s1".
void WithTwoFrontDaemons(const TestBody& body);

// Sends a turn of a route that keeps context, after the turn `previous` unless
// that is empty.
HttpReply SendTurn(Fiber& fiber,
                   VmDeployment& deployment,
                   const std::string& front,
                   const std::string& id,
                   const std::string& input,
                   const std::string& previous = {});

}  // namespace comfreyfold

#endif  // VM_TURN_REQUESTS_H_
