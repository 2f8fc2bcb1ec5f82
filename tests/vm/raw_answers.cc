#include "vm/raw_answers.h"

#include <utility>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace comfreyfold {

std::string RequestIdOf(const std::string& head) {
  // Asks for the server's state, before a stream goes on there.
  if (head.rfind("GET /api/report ", 0) == 0) {
    return "probe";
  }
  const std::string name = "Request-Id: ";
  const auto n = head.find(name);
  return n == std::string::npos
             ? ""
             : head.substr(n + name.size(),
                           head.find("\r\n", n) - n - name.size());
}

std::string SignedHead(const std::string& id, const std::string& more) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
         "\r\nResponse-Signature: s\r\n" + more;
}

std::string Answer(const std::string& id, const std::string& body) {
  return SignedHead(
      id, "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

std::string Refusal(const std::string& id) {
  return "HTTP/1.1 503 Busy\r\nRequest-Id: " + id +
         "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

void RegisterRawServer(VmDeployment& deployment, const std::string& address) {
  deployment.store().Put("servers/raw", nlohmann::json{{"service", "app"},
                                                       {"address", address},
                                                       {"zone", "north"},
                                                       {"version", "v1"},
                                                       {"slots", 8},
                                                       {"state", "ready"},
                                                       {"cold_remaining_ms", 0},
                                                       {"seq", 1},
                                                       {"born", 1}}
                                            .dump());
}

void WithRawServer(ServeConnection serve, const FrontTest& body) {
  RunWithDeployment([&](Fiber& fiber, VmDeployment& deployment) {
    deployment.StartAll(fiber);
    auto* server = new standins::RawServer(deployment.loop(), std::move(serve));
    RegisterRawServer(deployment, server->address());
    const auto& front = deployment.vm("front-1");
    BOOST_REQUIRE(deployment.WaitFor(fiber, [&] {
      return deployment.Send(fiber, front, {"/plain/x", "probe", "", {}})
                 .status == 200;
    }));
    body(fiber, deployment, front);
  });
}

}  // namespace comfreyfold
