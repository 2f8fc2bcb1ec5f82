// Refusals of engines.

#include <boost/test/unit_test.hpp>

#include "backend/engine_client.h"
#include "standins/raw_server.h"

namespace comfreyfold {
namespace {

using standins::RawServer;

const char* const kRefusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
const char* const kStream =
    "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\ndata: [DONE]\n\n";

// Returns the verdict on a request, kRan if it is answered.
Verdict Complete(Fiber& fiber,
                 EngineClient& engine,
                 const std::string& address,
                 const std::string& id) {
  EngineCall call;
  call.request_id = id;
  call.messages = "[]";
  call.idle_timeout = std::chrono::seconds(5);
  call.on_text = [](std::string_view) {};
  try {
    engine.Complete(fiber, address, call);
    return Verdict::kRan;
  } catch (const BackendFailure& e) {
    return e.verdict();
  }
}

BOOST_AUTO_TEST_SUITE(engine_refusal)

// The engine writes a refusal once more before the answer to the next request
// on the connection.
BOOST_AUTO_TEST_CASE(copy_of_refusal_does_not_refuse_the_next_request) {
  Loop loop;
  int runs = 0;
  RawServer server(loop, [&runs](Fiber& fiber, RawServer::Peer& peer) {
    bool refused = false;
    for (auto head = peer.ReadHead(); !head.empty(); head = peer.ReadHead()) {
      if (head.find("X-Request-Id: full") != std::string::npos) {
        refused = true;
        peer.Write(kRefusal);
        continue;
      }
      ++runs;
      if (refused) {
        peer.Write(kRefusal);
        fiber.Sleep(std::chrono::milliseconds(20));
      }
      peer.Write(kStream);
      return;
    }
  });
  Verdict first{};
  Verdict second{};
  loop.Spawn([&](Fiber& fiber) {
    HttpClient http(loop);
    EngineClient engine(http, {});
    first = Complete(fiber, engine, server.address(), "full");
    second = Complete(fiber, engine, server.address(), "next");
    loop.Stop();
  });
  loop.Run();
  BOOST_TEST((first == Verdict::kNotRun));
  BOOST_TEST(runs == 1);
  BOOST_TEST((second == Verdict::kRan));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
