// Connections that an HTTP client keeps for further requests.

#include <memory>

#include <boost/test/unit_test.hpp>

#include "net/http_client.h"
#include "net/http_server.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kIdleTime{50};

BOOST_AUTO_TEST_SUITE(idle_connections)

// They were closed only when another request to the same address ended, so that
// those to servers that had left stayed open until the process ended.
BOOST_AUTO_TEST_CASE(connections_to_addresses_out_of_use_are_closed) {
  Loop loop;
  const auto reply = [](Fiber&, const HttpRequest&, HttpExchange& exchange) {
    exchange.Reply(200, "", "");
  };
  HttpServer left(loop, reply);
  HttpServer used(loop, reply);
  HttpClient http(loop, 8, kIdleTime);
  const auto left_address = left.Listen("127.0.0.1:0");
  const auto used_address = used.Listen("127.0.0.1:0");
  loop.Spawn([&](Fiber& fiber) {
    http.Send(fiber, left_address, {"GET", "/", {}, ""});
    BOOST_TEST(left.connections() == 1U);
    const auto until = std::chrono::steady_clock::now() + milliseconds(10000);
    while (left.connections() > 0 && std::chrono::steady_clock::now() < until) {
      fiber.Sleep(milliseconds(10));
      http.Send(fiber, used_address, {"GET", "/", {}, ""});
    }
    BOOST_TEST(left.connections() == 0U);
    BOOST_TEST(used.connections() == 1U);
    BOOST_TEST(http.connections_opened() == 2);
    loop.Stop();
  });
  loop.Run();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
