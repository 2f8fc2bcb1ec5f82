#include "vm/turn_requests.h"

#include <boost/test/unit_test.hpp>

namespace comfreyfold {

void WithTwoFrontDaemons(const TestBody& body) {
  RunWithDeployment([&](Fiber& fiber, VmDeployment& deployment) {
    deployment.StartAll(fiber, 2);
    deployment.AddServer("s1");
    for (const auto* name : {"front-1", "front-2"}) {
      BOOST_REQUIRE(deployment.WaitFor(fiber, [&] {
        return deployment
                   .Send(fiber, deployment.vm(name),
                         {"/plain/x", "probe", "", {}})
                   .status == 200;
      }));
    }
    body(fiber, deployment);
  });
}

HttpReply SendTurn(Fiber& fiber,
                   VmDeployment& deployment,
                   const std::string& front,
                   const std::string& id,
                   const std::string& input,
                   const std::string& previous) {
  VmDeployment::ClientRequest client_request{"/talk/stream/x", id, input, {}};
  if (!previous.empty()) {
    client_request.headers.push_back({"Previous-Turn", previous});
  }
  return deployment.Send(fiber, deployment.vm(front), client_request);
}

}  // namespace comfreyfold
