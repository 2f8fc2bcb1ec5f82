#include <string>
#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "net/http_server.h"
#include "net/loop_impl.h"
#include "net/yield_token.h"

namespace comfreyfold {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: shop\r\n\r\n";
// Longer than a connection has to begin its request at the end of a stop.
constexpr milliseconds kDelay{500};

enum class Accepted { kByDrain, kBeforeDrain };

// Opens a connection, drains the server, and calls `send` with the client's
// socket once the server has accepted the connection. Returns the answer.
std::string AnswerAfterDrain(
    Accepted accepted,
    const std::function<void(Fiber&, tcp::socket&)>& send) {
  Loop loop;
  HttpServer server(loop,
                    [](Fiber&, const HttpRequest&, HttpExchange& exchange) {
                      exchange.Reply(200, "text/plain", "answered");
                    });
  const auto address = server.Listen("127.0.0.1:0");
  std::string out;
  loop.Spawn([&](Fiber& fiber) {
    tcp::socket socket(loop.impl().io);
    boost::system::error_code ec;
    socket.connect({boost::asio::ip::make_address("127.0.0.1"),
                    static_cast<std::uint16_t>(
                        std::stoi(address.substr(address.rfind(':') + 1)))},
                   ec);
    if (accepted == Accepted::kByDrain) {
      server.Drain();
    }
    while (server.connections() == 0) {
      fiber.Sleep(milliseconds(1));
    }
    fiber.Sleep(milliseconds(1));
    server.Drain();
    send(fiber, socket);
    boost::asio::async_read(socket, boost::asio::dynamic_buffer(out),
                            YieldToken(fiber)[ec]);
    loop.Stop();
  });
  loop.Run();
  return out;
}

void Write(tcp::socket& socket) {
  boost::system::error_code ec;
  boost::asio::write(socket, boost::asio::buffer(std::string(kRequest)), ec);
}

// Keeps the loop's thread from running, like a process that gets no processor.
void DelayProcess() {
  std::this_thread::sleep_for(kDelay);
}

BOOST_AUTO_TEST_SUITE(http_server_drain)

BOOST_AUTO_TEST_CASE(
    request_that_arrived_while_process_was_delayed_is_answered) {
  const auto answer =
      AnswerAfterDrain(Accepted::kByDrain, [](Fiber&, tcp::socket& socket) {
        Write(socket);
        DelayProcess();
      });
  BOOST_TEST(answer.find("answered") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(request_sent_right_after_process_was_delayed_is_answered) {
  const auto answer = AnswerAfterDrain(Accepted::kByDrain,
                                       [](Fiber& fiber, tcp::socket& socket) {
                                         DelayProcess();
                                         // The loop runs its expired timers
                                         // before the client goes on.
                                         fiber.Sleep(milliseconds(1));
                                         Write(socket);
                                       });
  BOOST_TEST(answer.find("answered") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(request_of_connection_opened_just_before_is_answered) {
  const auto answer = AnswerAfterDrain(Accepted::kBeforeDrain,
                                       [](Fiber& fiber, tcp::socket& socket) {
                                         fiber.Sleep(milliseconds(1));
                                         Write(socket);
                                       });
  BOOST_TEST(answer.find("answered") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(connection_without_request_is_closed) {
  for (const auto it : {Accepted::kByDrain, Accepted::kBeforeDrain}) {
    BOOST_TEST(AnswerAfterDrain(it, [](Fiber&, tcp::socket&) {}).empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
