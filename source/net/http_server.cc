#include "net/http_server.h"

#include <set>
#include <stdexcept>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "net/loop_impl.h"
#include "net/parked.h"

namespace comfreyfold {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr std::chrono::seconds kWriteTimeout{30};
constexpr std::chrono::milliseconds kAcceptPause{50};

struct Session {
  explicit Session(tcp::socket socket) : stream(std::move(socket)) {}
  beast::tcp_stream stream;
  beast::flat_buffer buf;
  bool busy = false;
};

class Exchange : public HttpExchange {
 public:
  Exchange(Fiber& fiber, Session& session, bool keep_alive)
      : fiber_(fiber), session_(session), keep_alive_(keep_alive) {}

  void Reply(int status,
             const std::string& content_type,
             const std::string& body,
             const std::vector<HttpHeader>& headers) override {
    http::response<http::string_body> message;
    Fill(message, status, content_type, headers);
    message.body() = body;
    message.prepare_payload();
    begun_ = true;
    boost::system::error_code ec;
    session_.stream.expires_after(kWriteTimeout);
    http::async_write(session_.stream, message, Parked(fiber_)[ec]);
    Note(ec);
  }

  void Begin(int status,
             const std::string& content_type,
             const std::vector<HttpHeader>& headers) override {
    http::response<http::empty_body> message;
    Fill(message, status, content_type, headers);
    message.chunked(true);
    begun_ = true;
    http::response_serializer<http::empty_body> serializer(message);
    boost::system::error_code ec;
    session_.stream.expires_after(kWriteTimeout);
    http::async_write_header(session_.stream, serializer, Parked(fiber_)[ec]);
    Note(ec);
  }

  void Write(std::string_view piece) override {
    if (broken_ || piece.empty()) {
      return;
    }
    boost::system::error_code ec;
    session_.stream.expires_after(kWriteTimeout);
    boost::asio::async_write(
        session_.stream,
        http::make_chunk(boost::asio::buffer(piece.data(), piece.size())),
        Parked(fiber_)[ec]);
    Note(ec);
  }

  void End() override {
    if (broken_) {
      return;
    }
    boost::system::error_code ec;
    session_.stream.expires_after(kWriteTimeout);
    boost::asio::async_write(session_.stream, http::make_chunk_last(),
                             Parked(fiber_)[ec]);
    Note(ec);
  }

  void Abort() override {
    broken_ = true;
    begun_ = true;
    session_.stream.close();
  }

  bool begun() const override { return begun_; }
  bool broken() const override { return broken_; }

 private:
  template <typename Message>
  void Fill(Message& message,
            int status,
            const std::string& content_type,
            const std::vector<HttpHeader>& headers) {
    message.version(11);
    message.result(static_cast<unsigned>(status));
    message.set(http::field::content_type, content_type);
    message.keep_alive(keep_alive_);
    for (const auto& it : headers) {
      message.set(it.name, it.value);
    }
  }

  void Note(boost::system::error_code ec) {
    if (ec) {
      broken_ = true;
    }
  }

  Fiber& fiber_;
  Session& session_;
  bool keep_alive_;
  bool begun_ = false;
  bool broken_ = false;
};

HttpRequest FromBeast(const http::request<http::string_body>& message) {
  HttpRequest out;
  out.method = std::string(message.method_string());
  out.target = std::string(message.target());
  for (const auto& it : message) {
    out.headers.push_back(
        {std::string(it.name_string()), std::string(it.value())});
  }
  out.body = message.body();
  return out;
}

}  // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(Loop& owner, HttpHandler on_request, HttpLimits bounds)
      : loop(owner),
        handler(std::move(on_request)),
        limits(bounds),
        acceptor(owner.impl().io) {}

  Loop& loop;
  HttpHandler handler;
  HttpLimits limits;
  tcp::acceptor acceptor;
  std::set<Session*> sessions;
  int in_flight = 0;
  bool draining = false;

  void Accept(Fiber& fiber) {
    while (!draining) {
      tcp::socket socket(loop.impl().io);
      boost::system::error_code ec;
      acceptor.async_accept(socket, Parked(fiber)[ec]);
      if (ec) {
        if (draining) {
          return;
        }
        // Out of descriptors, most likely: let some connections close.
        fiber.Sleep(kAcceptPause);
        continue;
      }
      if (static_cast<int>(sessions.size()) >= limits.connections) {
        continue;
      }
      socket.set_option(tcp::no_delay(true), ec);
      auto session = std::make_shared<Session>(std::move(socket));
      loop.Spawn([self = shared_from_this(), session](Fiber& child) {
        self->sessions.insert(session.get());
        self->Serve(child, *session);
        self->sessions.erase(session.get());
      });
    }
  }

  // True when a whole request was read; answers a bad one itself.
  bool Read(Fiber& fiber,
            Session& session,
            http::request_parser<http::string_body>& parser) {
    parser.body_limit(limits.body_bytes);
    parser.header_limit(limits.header_bytes);
    boost::system::error_code ec;
    session.stream.expires_after(limits.idle_time);
    if (session.buf.size() == 0) {
      const auto n = session.stream.async_read_some(session.buf.prepare(1024),
                                                    Parked(fiber)[ec]);
      session.buf.commit(n);
    }
    if (!ec) {
      session.stream.expires_after(limits.request_time);
      http::async_read(session.stream, session.buf, parser, Parked(fiber)[ec]);
    }
    if (!ec) {
      return true;
    }
    const int status = StatusOf(ec);
    if (status != 0) {
      Exchange exchange(fiber, session, false);
      exchange.Reply(status, "application/json",
                     R"({"error":{"code":"bad_http","message":")" +
                         ec.message() +
                         R"(; send a smaller or well-formed request",)"
                         R"("verdict":"not_run"}})",
                     {{"Comfreyfold-Verdict", "not_run"}});
    }
    return false;
  }

  static int StatusOf(boost::system::error_code ec) {
    if (ec == http::error::body_limit) {
      return 413;
    }
    if (ec == http::error::header_limit) {
      return 431;
    }
    if (ec == http::error::end_of_stream || ec == beast::error::timeout ||
        ec == http::error::partial_message) {
      return 0;
    }
    return ec.category() == make_error_code(http::error::bad_method).category()
               ? 400
               : 0;
  }

  void Serve(Fiber& fiber, Session& session) {
    while (!draining) {
      http::request_parser<http::string_body> parser;
      if (!Read(fiber, session, parser)) {
        break;
      }
      // A planned stop lets the request at hand be answered, but no
      // further one on this connection.
      const bool keep_alive = parser.get().keep_alive() && !draining;
      Exchange exchange(fiber, session, keep_alive);
      session.stream.expires_never();
      session.busy = true;
      ++in_flight;
      try {
        handler(fiber, FromBeast(parser.get()), exchange);
      } catch (const std::exception& e) {
        Fail(exchange, e.what());
      }
      --in_flight;
      session.busy = false;
      if (!keep_alive || exchange.broken()) {
        break;
      }
    }
    boost::system::error_code ec;
    session.stream.socket().shutdown(tcp::socket::shutdown_send, ec);
  }

  void Fail(HttpExchange& exchange, const char* what) {
    if (loop.impl().on_error) {
      loop.impl().on_error(what);
    }
    if (exchange.begun()) {
      exchange.Abort();
    } else {
      exchange.Reply(500, "application/json",
                     R"({"error":{"code":"internal","message":"internal )"
                     R"(error; retry with the same Idempotency-Key",)"
                     R"("verdict":"may_have_run"}})",
                     {{"Comfreyfold-Verdict", "may_have_run"}});
    }
  }
};

HttpServer::HttpServer(Loop& loop, HttpHandler handler, HttpLimits limits)
    : impl_(std::make_shared<Impl>(loop, std::move(handler), limits)) {}
HttpServer::~HttpServer() = default;

std::string HttpServer::Listen(const std::string& address) {
  const auto n = address.rfind(':');
  boost::system::error_code ec;
  const auto ip = boost::asio::ip::make_address(address.substr(0, n), ec);
  if (ec || n == std::string::npos) {
    throw std::runtime_error("listen address '" + address +
                             "' is not ip:port; write e.g. 127.0.0.1:8080");
  }
  const tcp::endpoint endpoint(ip, static_cast<std::uint16_t>(std::strtoul(
                                       address.c_str() + n + 1, nullptr, 10)));
  auto& acceptor = impl_->acceptor;
  acceptor.open(endpoint.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind(endpoint, ec);
  if (ec) {
    throw std::runtime_error("listen on " + address + ": " + ec.message() +
                             "; choose a free port or 0");
  }
  acceptor.listen();
  impl_->loop.Spawn([impl = impl_](Fiber& fiber) { impl->Accept(fiber); });
  const auto bound = acceptor.local_endpoint();
  return bound.address().to_string() + ":" + std::to_string(bound.port());
}

void HttpServer::Drain() {
  impl_->draining = true;
  boost::system::error_code ec;
  impl_->acceptor.close(ec);
  for (auto* it : impl_->sessions) {
    if (!it->busy) {
      it->stream.cancel();
    }
  }
}

int HttpServer::in_flight() const {
  return impl_->in_flight;
}

}  // namespace comfreyfold
