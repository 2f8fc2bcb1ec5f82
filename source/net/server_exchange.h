#ifndef NET_SERVER_EXCHANGE_H_
#define NET_SERVER_EXCHANGE_H_

// Only the sources in net/ include this header, so that no other code depends
// on Beast.

#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>

#include "net/http_server.h"

namespace comfreyfold {

// Limit on the time that one write waits for the client to read.
inline constexpr std::chrono::seconds kWriteTimeout{30};

// One connection of a server.
struct Session {
  explicit Session(boost::asio::ip::tcp::socket socket)
      : stream(std::move(socket)) {
    // A write is first tried without waiting and suspends the coroutine only if
    // the socket buffer is full.
    boost::system::error_code ec;
    stream.socket().non_blocking(true, ec);
  }
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buf;
  bool busy = false;
};

// Sends the response to one request on the connection of its session.
class ServerExchange : public HttpExchange {
 public:
  ServerExchange(Fiber& fiber, Session& session, bool keep_alive)
      : fiber_(fiber), session_(session), keep_alive_(keep_alive) {}

  void Reply(int status,
             const std::string& content_type,
             const std::string& body,
             const std::vector<HttpHeader>& headers) override;
  void Begin(int status,
             const std::string& content_type,
             const std::vector<HttpHeader>& headers) override;
  void Write(std::string_view piece) override;
  void End() override;
  void Abort() override;

  bool begun() const override { return begun_; }
  bool broken() const override { return broken_; }
  bool PeerGone() override;
  std::size_t sent_bytes() const { return sent_bytes_; }

 private:
  template <typename Message>
  void SetHeader(Message& message,
                 int status,
                 const std::string& content_type,
                 const std::vector<HttpHeader>& headers) const;
  void WriteAll(std::string_view data);
  void RecordWrite(boost::system::error_code ec, std::size_t bytes);

  Fiber& fiber_;
  Session& session_;
  bool keep_alive_;
  bool begun_ = false;
  bool broken_ = false;
  std::size_t sent_bytes_ = 0;
};

}  // namespace comfreyfold

#endif  // NET_SERVER_EXCHANGE_H_
