#include "net/http_server.h"

#include <set>
#include <stdexcept>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "net/error_reply.h"
#include "net/loop_impl.h"
#include "net/parked.h"
#include "net/server_exchange.h"

namespace comfreyfold {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds kAcceptPause{50};
constexpr std::chrono::seconds kRefusalTimeout{1};
constexpr std::chrono::milliseconds kRetryWhenCrowded{1000};
constexpr std::size_t kFirstReadBytes = 1024;
// What a refused sender may still have under way before the close.
constexpr std::size_t kDiscardBytes = 256 * 1024;

// Stops the reading of a request that comes too slowly. The stream's own
// timeout closes the socket, which would leave nothing to answer on.
class ReadDeadline {
 public:
  ReadDeadline(const std::shared_ptr<Session>& session,
               std::chrono::milliseconds time)
      : timer_(session->stream.get_executor(), time),
        passed_(std::make_shared<bool>(false)) {
    timer_.async_wait(
        [session, passed = passed_](boost::system::error_code ec) {
          if (!ec) {
            *passed = true;
            session->stream.cancel();
          }
        });
  }
  bool passed() const { return *passed_; }

 private:
  boost::asio::steady_timer timer_;
  std::shared_ptr<bool> passed_;
};

using Parser = http::request_parser<http::string_body>;

CallError Refused(int status,
                  const char* code,
                  const std::string& message,
                  std::chrono::milliseconds retry_after = {}) {
  return {status, code, message, Verdict::kNotRun, retry_after};
}

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
  int turning_away = 0;
  bool closing = false;
  bool draining = false;
  std::function<void(const HttpRequest&, std::size_t)> on_answered;

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
      socket.set_option(tcp::no_delay(true), ec);
      auto session = std::make_shared<Session>(std::move(socket));
      if (static_cast<int>(sessions.size()) >= limits.connections) {
        loop.Spawn([self = shared_from_this(), session](Fiber& child) {
          self->TurnAway(child, *session);
        });
        continue;
      }
      // Counted here: the coroutine may start after further accepts.
      sessions.insert(session.get());
      loop.Spawn([self = shared_from_this(), session](Fiber& child) {
        self->Serve(child, session);
        self->sessions.erase(session.get());
      });
    }
  }

  void TurnAway(Fiber& fiber, Session& session) {
    if (turning_away >= limits.connections) {
      return;
    }
    ++turning_away;
    Refuse(fiber, session,
           Refused(503, "too_many_connections",
                   "this daemon has as many connections as it may; retry, or "
                   "use another daemon",
                   kRetryWhenCrowded));
    --turning_away;
  }

  // True when a whole request was read; answers a bad one itself.
  bool Read(Fiber& fiber,
            const std::shared_ptr<Session>& shared,
            Parser& parser) {
    auto& session = *shared;
    parser.body_limit(limits.body_bytes);
    parser.header_limit(limits.header_bytes);
    boost::system::error_code ec;
    if (session.buf.size() == 0) {
      session.stream.expires_after(limits.idle_time);
      const auto n = session.stream.async_read_some(
          session.buf.prepare(kFirstReadBytes), Parked(fiber)[ec]);
      session.buf.commit(n);
      if (ec) {
        return false;
      }
    }
    session.stream.expires_never();
    const ReadDeadline deadline(shared, limits.request_time);
    http::async_read_header(session.stream, session.buf, parser,
                            Parked(fiber)[ec]);
    if (!ec && (!Framed(fiber, session, parser) ||
                !Expected(fiber, session, parser))) {
      return false;
    }
    if (!ec) {
      http::async_read(session.stream, session.buf, parser, Parked(fiber)[ec]);
    }
    if (!ec) {
      return true;
    }
    if (deadline.passed()) {
      Refuse(fiber, session,
             Refused(408, "request_timeout",
                     "the request did not arrive whole in time; send it "
                     "faster, or in one piece"));
    } else if (IsHttpError(ec) && ec != http::error::end_of_stream) {
      Refuse(fiber, session, RefusalOf(ec));
    }
    return false;
  }

  // Refuses a transfer coding other than plain "chunked": where its body ends
  // cannot be known, and its bytes could pass for a further request.
  static bool Framed(Fiber& fiber, Session& session, const Parser& parser) {
    const auto& message = parser.get();
    if (message.count(http::field::transfer_encoding) == 0 ||
        (message.count(http::field::transfer_encoding) == 1 &&
         beast::iequals(message[http::field::transfer_encoding], "chunked"))) {
      return true;
    }
    Refuse(fiber, session,
           Refused(400, "bad_transfer_coding",
                   "only 'Transfer-Encoding: chunked' is known; send the body "
                   "with a length or in chunks"));
    return false;
  }

  // Answers "Expect: 100-continue", on which some clients hold the body
  // back; false when something else is expected.
  static bool Expected(Fiber& fiber, Session& session, const Parser& parser) {
    const auto expected = parser.get()[http::field::expect];
    if (expected.empty()) {
      return true;
    }
    if (!beast::iequals(expected, "100-continue")) {
      Refuse(fiber, session,
             Refused(417, "expectation_unknown",
                     "only 'Expect: 100-continue' is known; leave it out"));
      return false;
    }
    http::response<http::empty_body> go_on(http::status::continue_, 11);
    boost::system::error_code ec;
    session.stream.expires_after(kWriteTimeout);
    http::async_write(session.stream, go_on, Parked(fiber)[ec]);
    session.stream.expires_never();
    return !ec;
  }

  static bool IsHttpError(boost::system::error_code ec) {
    return ec.category() == make_error_code(http::error::bad_method).category();
  }

  static CallError RefusalOf(boost::system::error_code ec) {
    if (ec == http::error::body_limit) {
      return Refused(413, "body_too_large",
                     "the body is larger than this daemon takes; send less");
    }
    if (ec == http::error::header_limit) {
      return Refused(431, "headers_too_large",
                     "the headers are larger than this daemon takes; send "
                     "fewer or shorter ones");
    }
    if (ec == http::error::partial_message) {
      return Refused(400, "request_cut",
                     "the connection ended before the request did; send it "
                     "again whole");
    }
    return Refused(400, "bad_http",
                   ec.message() + "; send a well-formed HTTP/1.1 request");
  }

  // Answers what was not read whole. The rest of it is read and dropped:
  // closing with bytes unread would reset the connection and could take the
  // answer with it.
  static void Refuse(Fiber& fiber, Session& session, const CallError& error) {
    ServerExchange exchange(fiber, session, false);
    ReplyError(exchange, error);
    boost::system::error_code ec;
    session.stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    session.stream.expires_after(kRefusalTimeout);
    std::size_t dropped = 0;
    while (!ec && dropped < kDiscardBytes) {
      session.buf.clear();
      dropped += session.stream.async_read_some(
          session.buf.prepare(kFirstReadBytes), Parked(fiber)[ec]);
    }
  }

  void Serve(Fiber& fiber, const std::shared_ptr<Session>& shared) {
    auto& session = *shared;
    while (!draining) {
      Parser parser;
      if (!Read(fiber, shared, parser)) {
        break;
      }
      // A planned stop lets the request at hand be answered, but no
      // further one on this connection.
      const bool keep_alive =
          parser.get().keep_alive() && !draining && !closing;
      ServerExchange exchange(fiber, session, keep_alive);
      session.stream.expires_never();
      session.busy = true;
      ++in_flight;
      Answer(fiber, FromBeast(parser.get()), exchange);
      --in_flight;
      session.busy = false;
      if (!keep_alive || exchange.broken()) {
        break;
      }
    }
    boost::system::error_code ec;
    session.stream.socket().shutdown(tcp::socket::shutdown_send, ec);
  }

  void Answer(Fiber& fiber,
              const HttpRequest& request,
              ServerExchange& exchange) {
    try {
      handler(fiber, request, exchange);
    } catch (const std::exception& e) {
      Fail(exchange, e.what());
    }
    if (on_answered) {
      on_answered(request, exchange.sent_bytes());
    }
  }

  void Fail(HttpExchange& exchange, const char* what) {
    if (loop.impl().on_error) {
      loop.impl().on_error(what);
    }
    if (exchange.begun()) {
      exchange.Abort();
    } else {
      ReplyError(exchange, CallError(500, "internal",
                                     "internal error; retry with the same "
                                     "Idempotency-Key",
                                     Verdict::kMayHaveRun));
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

void HttpServer::SetLimits(const HttpLimits& limits) {
  impl_->limits = limits;
}

void HttpServer::CloseAfterReplies() {
  impl_->closing = true;
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

void HttpServer::OnAnswered(
    std::function<void(const HttpRequest&, std::size_t)> hook) {
  impl_->on_answered = std::move(hook);
}

int HttpServer::in_flight() const {
  return impl_->in_flight;
}

}  // namespace comfreyfold
