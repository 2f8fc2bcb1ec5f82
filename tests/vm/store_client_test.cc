// Answers of the platform's store that are odd.

#include <functional>
#include <string>

#include <boost/test/unit_test.hpp>

#include "net/http_client.h"
#include "platform/store_client.h"
#include "standins/raw_server.h"

namespace comfreyfold::platform {
namespace {

using standins::RawServer;
using std::chrono::milliseconds;

constexpr milliseconds kTimeout{2000};

// Runs `body` with a client of a store that handles each connection with
// `serve`.
void WithStore(
    std::function<void(Fiber&, RawServer::Peer&)> serve,
    const std::function<void(Fiber&, StoreClient&, const RawServer&)>& body) {
  Loop loop;
  RawServer server(loop, std::move(serve));
  loop.Spawn([&](Fiber& fiber) {
    HttpClient http(loop);
    StoreClient store(http, server.address(), kTimeout);
    body(fiber, store, server);
    loop.Stop();
  });
  loop.Run();
}

std::string Reply(const std::string& body, const std::string& status = "200") {
  return "HTTP/1.1 " + status +
         " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

BOOST_AUTO_TEST_SUITE(store_client)

BOOST_AUTO_TEST_CASE(change_answered_with_invalid_status_may_have_been_made) {
  for (const std::string status : {"000", "099", "600", "700", "999"}) {
    WithStore(
        [&status](Fiber&, RawServer::Peer& peer) {
          while (!peer.ReadHead().empty()) {
            peer.Write(Reply("{}", status));
          }
        },
        [](Fiber& fiber, StoreClient& store, const RawServer& server) {
          const auto may_have_applied = [](const KvUnavailable& e) {
            return e.may_have_applied();
          };
          BOOST_CHECK_EXCEPTION(store.Commit(fiber, {}), KvUnavailable,
                                may_have_applied);
          BOOST_CHECK_EXCEPTION(store.Get(fiber, "k"), KvUnavailable,
                                may_have_applied);
          BOOST_TEST(server.connections() == 2);
        });
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::platform
