#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "net/endpoint.h"
#include "net/http_server.h"
#include "net/loop_impl.h"

namespace comfreyfold {
namespace {

using boost::asio::ip::tcp;

constexpr int kConnections = 200;
constexpr int kMaxTurns = 100;

BOOST_AUTO_TEST_SUITE(http_server_accept)

BOOST_AUTO_TEST_CASE(new_connections_do_not_wait_for_one_turn_of_loop_each) {
  Loop loop;
  int handled = 0;
  HttpServer server(loop,
                    [&](Fiber&, const HttpRequest&, HttpExchange& exchange) {
                      ++handled;
                      exchange.Reply(200, "text/plain", "answered");
                    });
  const auto endpoint = ParseEndpoint(server.Listen("127.0.0.1:0"));
  std::vector<std::unique_ptr<tcp::socket>> clients;
  for (int n = 0; n < kConnections; ++n) {
    clients.push_back(std::make_unique<tcp::socket>(loop.impl().io));
    clients.back()->connect(
        {boost::asio::ip::make_address(endpoint->ip), endpoint->port});
    boost::asio::write(
        *clients.back(),
        boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
  }
  // Other work, which takes one turn of the loop after the other.
  int turns = 0;
  std::function<void()> work = [&] {
    ++turns;
    if (handled == kConnections) {
      loop.Stop();
    } else {
      loop.Post(work);
    }
  };
  loop.Post(work);
  loop.Run();
  BOOST_TEST(turns < kMaxTurns);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
