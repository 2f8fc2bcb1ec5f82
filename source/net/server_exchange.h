#ifndef NET_SERVER_EXCHANGE_H_
#define NET_SERVER_EXCHANGE_H_

// Only the sources in net/ include this header, so that no other code depends
// on Beast.

#include <chrono>
#include <functional>
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
  // Bounded because the end of a chunk header or trailer may never come.
  boost::beast::flat_buffer buf{kMaxUnparsedBytes};
  bool busy = false;     // A request is being handled.
  bool reading = false;  // A part of a request has arrived.
  bool had_request = false;

  // Headers are parsed as a whole, so this exceeds the limits on headers of all
  // deployments (16 KiB).
  static constexpr std::size_t kMaxUnparsedBytes = 256 * 1024;
};

// Sends the response to one request on the connection of its session.
class ServerExchange : public HttpExchange {
 public:
  // `keep_alive` is called when the response begins: a planned stop may start
  // while the request is being handled.
  ServerExchange(Fiber& fiber,
                 Session& session,
                 std::function<bool()> keep_alive)
      : fiber_(fiber), session_(session), keep_alive_(std::move(keep_alive)) {}

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
  // Whether the response lets the client use the connection again.
  bool kept_alive() const { return kept_alive_; }
  std::size_t sent_bytes() const { return sent_bytes_; }

 private:
  template <typename Message>
  void SetHeader(Message& message,
                 int status,
                 const std::string& content_type,
                 const std::vector<HttpHeader>& headers);
  void WriteAll(std::string_view data);
  void RecordWrite(boost::system::error_code ec, std::size_t bytes);

  Fiber& fiber_;
  Session& session_;
  std::function<bool()> keep_alive_;
  bool kept_alive_ = false;
  bool begun_ = false;
  bool has_body_ = true;
  bool broken_ = false;
  std::size_t sent_bytes_ = 0;
};

}  // namespace comfreyfold

#endif  // NET_SERVER_EXCHANGE_H_
