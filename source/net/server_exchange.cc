#include "net/server_exchange.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/http/span_body.hpp>

#include "net/yield_token.h"

namespace comfreyfold {

namespace http = boost::beast::http;

namespace {

// Whatever follows the head of such a response belongs to the next one.
bool HasBody(int status) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return status != kNoContent && status != kNotModified;
}

}  // namespace

template <typename Message>
void ServerExchange::SetHeader(Message& message,
                               int status,
                               const std::string& content_type,
                               const std::vector<HttpHeader>& headers) {
  constexpr unsigned kHttp11 = 11;
  message.version(kHttp11);
  message.result(static_cast<unsigned>(status));
  if (!content_type.empty()) {
    message.set(http::field::content_type, content_type);
  }
  kept_alive_ = keep_alive_();
  message.keep_alive(kept_alive_);
  for (const auto& it : headers) {
    message.insert(it.name, it.value);
  }
}

void ServerExchange::Reply(int status,
                           const std::string& content_type,
                           const std::string& body,
                           const std::vector<HttpHeader>& headers) {
  http::response<http::span_body<const char>> message;
  SetHeader(message, status, content_type, headers);
  message.body() = {body.data(), body.size()};
  message.prepare_payload();
  begun_ = true;
  boost::system::error_code ec;
  session_.stream.expires_after(kWriteTimeout);
  const auto n =
      http::async_write(session_.stream, message, YieldToken(fiber_)[ec]);
  RecordWrite(ec, n);
}

void ServerExchange::Begin(int status,
                           const std::string& content_type,
                           const std::vector<HttpHeader>& headers) {
  http::response<http::empty_body> message;
  SetHeader(message, status, content_type, headers);
  has_body_ = HasBody(status);
  message.chunked(has_body_);
  begun_ = true;
  http::response_serializer<http::empty_body> serializer(message);
  boost::system::error_code ec;
  session_.stream.expires_after(kWriteTimeout);
  const auto n = http::async_write_header(session_.stream, serializer,
                                          YieldToken(fiber_)[ec]);
  RecordWrite(ec, n);
}

void ServerExchange::Write(std::string_view piece) {
  if (broken_ || !has_body_ || piece.empty()) {
    return;
  }
  const auto chunk = http::make_chunk(boost::asio::buffer(piece));
  std::string out(boost::asio::buffer_size(chunk), '\0');
  boost::asio::buffer_copy(boost::asio::buffer(out), chunk);
  WriteAll(out);
}

// If the client keeps up, the socket buffer has room, and most pieces are sent
// without the cost of suspending the coroutine.
void ServerExchange::WriteAll(std::string_view data) {
  boost::system::error_code ec;
  auto n = session_.stream.socket().send(boost::asio::buffer(data), 0, ec);
  if (ec == boost::asio::error::would_block) {
    ec = {};
  }
  if (!ec && n < data.size()) {
    session_.stream.expires_after(kWriteTimeout);
    n += boost::asio::async_write(session_.stream,
                                  boost::asio::buffer(data.substr(n)),
                                  YieldToken(fiber_)[ec]);
  }
  RecordWrite(ec, n);
}

void ServerExchange::End() {
  if (broken_ || !has_body_) {
    return;
  }
  boost::system::error_code ec;
  session_.stream.expires_after(kWriteTimeout);
  const auto n = boost::asio::async_write(
      session_.stream, http::make_chunk_last(), YieldToken(fiber_)[ec]);
  RecordWrite(ec, n);
}

bool ServerExchange::PeerGone() {
  if (broken_) {
    return true;
  }
  char byte = 0;
  boost::system::error_code ec;
  session_.stream.socket().receive(boost::asio::buffer(&byte, 1),
                                   boost::asio::socket_base::message_peek, ec);
  // A byte that can be read belongs to the next request on the connection, so
  // the connection is still open.
  if (ec && ec != boost::asio::error::would_block) {
    broken_ = true;
  }
  return broken_;
}

void ServerExchange::Abort() {
  broken_ = true;
  begun_ = true;
  session_.stream.close();
}

void ServerExchange::RecordWrite(boost::system::error_code ec,
                                 std::size_t bytes) {
  sent_bytes_ += bytes;
  if (ec) {
    broken_ = true;
  }
}

}  // namespace comfreyfold
