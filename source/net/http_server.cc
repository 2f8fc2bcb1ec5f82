#include "net/http_server.h"

#include <set>
#include <stdexcept>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "net/endpoint.h"
#include "net/error_reply.h"
#include "net/loop_impl.h"
#include "net/read_deadline.h"
#include "net/repeat.h"
#include "net/server_exchange.h"
#include "net/yield_token.h"

namespace comfreyfold {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
// Connections accepted before the loop does other work.
constexpr int kMaxAcceptedTogether = 64;
constexpr std::chrono::seconds kDiscardTimeout{1};
constexpr std::chrono::milliseconds kConnectionLimitRetryAfter{1000};
// How often a connection without a request is checked for one at the end of a
// planned stop, and the time between two checks. Clients send the request as
// soon as they are connected. A timeout would not do: if the process gets no
// processor for that long, it expires before the request that has arrived is
// read.
constexpr int kDrainChecks = 30;
constexpr std::chrono::milliseconds kDrainCheckInterval{10};
constexpr std::size_t kReadBytes = 1024;
// Limit on the data of a refused request that is read and discarded before its
// connection is closed.
constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;
// How long a request waits for memory for its body, and how soon another try
// may find some: about the duration of a request.
constexpr std::chrono::milliseconds kMaxMemoryWait{300};
constexpr std::chrono::milliseconds kMemoryRetryAfter{300};
// A reading buffer that has grown beyond this is released after the request.
constexpr std::size_t kMaxKeptBufferBytes = 4096;

using Parser = http::request_parser<http::string_body>;

CallError MakeRefusal(int status,
                      const char* code,
                      const std::string& message,
                      std::chrono::milliseconds retry_after = {}) {
  return {status, code, message, Verdict::kNotRun, retry_after};
}

HttpRequest FromBeast(http::request<http::string_body> message) {
  HttpRequest out;
  out.method = std::string(message.method_string());
  out.target = std::string(message.target());
  for (const auto& it : message) {
    out.headers.push_back(
        {std::string(it.name_string()), std::string(it.value())});
  }
  out.body = std::move(message.body());
  return out;
}

}  // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  // Counts a request until it has been handled, also by an exception.
  struct RequestCount {
    explicit RequestCount(Impl& owner) : server(owner) { ++server.in_flight; }
    ~RequestCount() { --server.in_flight; }
    RequestCount(const RequestCount&) = delete;
    RequestCount& operator=(const RequestCount&) = delete;
    Impl& server;
  };

  Impl(Loop& owner, HttpHandler on_request, HttpLimits initial_limits)
      : loop(owner),
        handler(std::move(on_request)),
        limits(initial_limits),
        acceptor(owner.impl().io) {}

  Loop& loop;
  HttpHandler handler;
  HttpLimits limits;
  tcp::acceptor acceptor;
  std::set<Session*> sessions;
  int in_flight = 0;
  int refusals_in_progress = 0;
  bool closing = false;
  bool draining = false;
  std::function<void(const HttpRequest&, std::size_t)> on_answered;
  std::shared_ptr<MemoryBudget> body_memory = std::make_shared<MemoryBudget>(0);
  std::size_t exempt_bytes = 0;
  Condition memory_freed{loop};

  void Accept(Fiber& fiber) {
    Repeat(fiber, "the accepting of connections", [this, &fiber] {
      if (!draining) {
        AcceptOne(fiber);
      }
      return !draining;
    });
  }

  void AcceptOne(Fiber& fiber) {
    tcp::socket socket(loop.impl().io);
    boost::system::error_code ec;
    acceptor.async_accept(socket, YieldToken(fiber)[ec]);
    if (!ec) {
      StartSession(std::move(socket));
      AcceptWaiting();
    } else if (!draining) {
      // The process is probably out of file descriptors: wait until some
      // connections have been closed.
      fiber.Sleep(kAcceptRetryDelay);
    }
  }

  void StartSession(tcp::socket socket) {
    boost::system::error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    auto session = std::make_shared<Session>(std::move(socket));
    if (static_cast<int>(sessions.size()) >= limits.connections) {
      loop.Spawn([self = shared_from_this(), session](Fiber& child) {
        self->RefuseConnection(child, *session);
      });
      return;
    }
    // The session is counted before its coroutine starts, because further
    // connections may be accepted in between.
    sessions.insert(session.get());
    const std::shared_ptr<Session> counted(
        session.get(), [self = shared_from_this(), session](Session* it) {
          self->sessions.erase(it);
        });
    loop.Spawn(
        [this, counted](Fiber& child) { ServeConnection(child, counted); });
  }

  // Accepts further connections that clients have opened already. One at a
  // time, each would wait for all that the loop has to do in between.
  void AcceptWaiting() {
    boost::system::error_code ec;
    acceptor.non_blocking(true, ec);
    for (int n = 0; !ec && n < kMaxAcceptedTogether; ++n) {
      AcceptNow(ec);
    }
  }

  // Accepts all connections that clients have opened already: closing the
  // acceptor would reset them.
  void AcceptQueued() {
    boost::system::error_code ec;
    acceptor.non_blocking(true, ec);
    while (!ec) {
      AcceptNow(ec);
    }
  }

  void AcceptNow(boost::system::error_code& ec) {
    tcp::socket socket(loop.impl().io);
    acceptor.accept(socket, ec);
    if (!ec) {
      StartSession(std::move(socket));
    }
  }

  void RefuseConnection(Fiber& fiber, Session& session) {
    if (refusals_in_progress >= limits.connections) {
      return;
    }
    ++refusals_in_progress;
    Refuse(
        fiber, session,
        MakeRefusal(503, "too_many_connections",
                    "this daemon has reached its connection limit; retry, or "
                    "use another daemon",
                    kConnectionLimitRetryAfter));
    --refusals_in_progress;
  }

  // Waits for the first bytes of a request. Returns false if none arrived.
  bool AwaitData(Fiber& fiber, Session& session) const {
    boost::system::error_code ec = boost::asio::error::operation_aborted;
    if (!draining) {
      session.stream.expires_after(limits.idle_time);
      session.buf.commit(session.stream.async_read_some(
          session.buf.prepare(kReadBytes), YieldToken(fiber)[ec]));
      session.stream.expires_never();
    }
    if (ec == boost::asio::error::operation_aborted && draining) {
      return AwaitLastRequest(fiber, session);
    }
    return !ec;
  }

  // Waits for the request on a connection that was opened at the end of a
  // planned stop. Older connections without a request are of no more use.
  static bool AwaitLastRequest(Fiber& fiber, Session& session) {
    for (int n = 0;; ++n) {
      boost::system::error_code ec;
      session.buf.commit(session.stream.socket().receive(
          session.buf.prepare(kReadBytes), 0, ec));
      if (ec != boost::asio::error::would_block) {
        return !ec;
      }
      if (session.had_request || n == kDrainChecks) {
        return false;
      }
      fiber.Sleep(kDrainCheckInterval);
    }
  }

  // Reads one request into `parser`. Returns false if the connection ended or
  // the request was bad; a bad request has then been answered.
  bool ReadRequest(Fiber& fiber,
                   const std::shared_ptr<Session>& shared,
                   Parser& parser,
                   MemoryReservation& memory) {
    auto& session = *shared;
    parser.body_limit(limits.body_bytes);
    parser.header_limit(limits.header_bytes);
    boost::system::error_code ec;
    if (session.buf.size() == 0 && !AwaitData(fiber, session)) {
      return false;
    }
    session.reading = true;
    session.stream.expires_never();
    const ReadDeadline deadline(shared, limits.request_time);
    http::async_read_header(session.stream, session.buf, parser,
                            YieldToken(fiber)[ec]);
    if (!ec && (!CheckTransferCoding(fiber, session, parser) ||
                !HandleExpectation(fiber, session, parser))) {
      return false;
    }
    bool has_memory = true;
    if (!ec) {
      has_memory = ReadBody(fiber, session, parser, memory, ec);
    }
    if (!ec && has_memory) {
      return true;
    }
    if (!has_memory) {
      Refuse(
          fiber, session,
          MakeRefusal(503, "no_memory",
                      "this daemon has no memory for the body now; retry, or "
                      "use another daemon",
                      kMemoryRetryAfter),
          limits.body_bytes);
    } else if (deadline.expired()) {
      Refuse(
          fiber, session,
          MakeRefusal(408, "request_timeout",
                      "the request did not arrive completely in time; send it "
                      "faster, or in one piece"));
    } else if (IsHttpError(ec) && ec != http::error::end_of_stream) {
      Refuse(fiber, session, MakeReadRefusal(ec));
    }
    return false;
  }

  // Reads the body, whose memory is taken at once if its length is known, else
  // as it grows. Returns false if there is not enough memory.
  bool ReadBody(Fiber& fiber,
                Session& session,
                Parser& parser,
                MemoryReservation& memory,
                boost::system::error_code& ec) {
    std::size_t taken = exempt_bytes;
    const auto take_up_to = [&](std::size_t bytes) {
      if (bytes <= taken) {
        return true;
      }
      const bool taken_now = memory_freed.WaitUntil(
          fiber, kMaxMemoryWait, [&] { return memory.Grow(bytes - taken); });
      taken = bytes;
      return taken_now;
    };
    const auto length = parser.content_length_remaining();
    if (length && !take_up_to(static_cast<std::size_t>(*length))) {
      return false;
    }
    while (!ec && !parser.is_done()) {
      http::async_read_some(session.stream, session.buf, parser,
                            YieldToken(fiber)[ec]);
      if (!ec && !take_up_to(parser.get().body().size())) {
        return false;
      }
    }
    return true;
  }

  // Refuses transfer codings other than plain "chunked": the end of such a body
  // is unknown, and its bytes could be taken for another request (request
  // smuggling). Returns false if the request was refused.
  static bool CheckTransferCoding(Fiber& fiber,
                                  Session& session,
                                  const Parser& parser) {
    const auto& message = parser.get();
    if (message.count(http::field::transfer_encoding) == 0 ||
        (message.count(http::field::transfer_encoding) == 1 &&
         beast::iequals(message[http::field::transfer_encoding], "chunked"))) {
      return true;
    }
    Refuse(
        fiber, session,
        MakeRefusal(400, "bad_transfer_coding",
                    "only 'Transfer-Encoding: chunked' is supported; send the "
                    "body with a Content-Length or in chunks"));
    return false;
  }

  // Answers "Expect: 100-continue", for which some clients wait before they
  // send the body. Refuses any other expectation and returns false.
  static bool HandleExpectation(Fiber& fiber,
                                Session& session,
                                const Parser& parser) {
    const auto expected = parser.get()[http::field::expect];
    if (expected.empty()) {
      return true;
    }
    if (!beast::iequals(expected, "100-continue")) {
      Refuse(fiber, session,
             MakeRefusal(
                 417, "expectation_unknown",
                 "only 'Expect: 100-continue' is supported; omit the header"));
      return false;
    }
    http::response<http::empty_body> continue_reply(http::status::continue_,
                                                    11);
    boost::system::error_code ec;
    session.stream.expires_after(kWriteTimeout);
    http::async_write(session.stream, continue_reply, YieldToken(fiber)[ec]);
    session.stream.expires_never();
    return !ec;
  }

  static bool IsHttpError(boost::system::error_code ec) {
    return ec.category() == make_error_code(http::error::bad_method).category();
  }

  static CallError MakeReadRefusal(boost::system::error_code ec) {
    if (ec == http::error::body_limit) {
      return MakeRefusal(
          413, "body_too_large",
          "the body exceeds this daemon's size limit; send less");
    }
    if (ec == http::error::header_limit) {
      return MakeRefusal(431, "headers_too_large",
                         "the headers exceed this daemon's size limit; send "
                         "fewer or shorter ones");
    }
    if (ec == http::error::partial_message) {
      return MakeRefusal(400, "request_cut",
                         "the connection was closed before the request was "
                         "complete; send it again");
    }
    return MakeRefusal(400, "bad_http",
                       ec.message() + "; send a well-formed HTTP/1.1 request");
  }

  // Answers a request that was not read completely, then reads and drops the
  // rest of it: closing a socket with unread data resets the connection, and
  // the client could lose the answer.
  static void Refuse(Fiber& fiber,
                     Session& session,
                     const CallError& error,
                     std::size_t max_discarded = kMaxDiscardedBytes) {
    ServerExchange exchange(fiber, session, [] { return false; });
    ReplyError(exchange, error);
    boost::system::error_code ec;
    session.stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    session.stream.expires_after(kDiscardTimeout);
    std::size_t discarded = 0;
    while (!ec && discarded < max_discarded) {
      session.buf.clear();
      discarded += session.stream.async_read_some(
          session.buf.prepare(kReadBytes), YieldToken(fiber)[ec]);
    }
  }

  void ServeConnection(Fiber& fiber, const std::shared_ptr<Session>& shared) {
    auto& session = *shared;
    for (bool kept_alive = true; kept_alive;) {
      Parser parser;
      MemoryReservation memory(body_memory);
      if (!ReadRequest(fiber, shared, parser, memory)) {
        break;
      }
      if (session.buf.size() == 0 &&
          session.buf.capacity() > kMaxKeptBufferBytes) {
        session.buf.shrink_to_fit();
      }
      const bool keep_alive = parser.get().keep_alive();
      // During a planned stop the current request is still answered, but the
      // connection accepts no further one.
      ServerExchange exchange(fiber, session, [this, keep_alive] {
        return keep_alive && !draining && !closing;
      });
      session.stream.expires_never();
      session.reading = false;
      session.busy = true;
      session.had_request = true;
      {
        const RequestCount count(*this);
        HandleRequest(fiber, FromBeast(parser.release()), exchange);
      }
      memory_freed.NotifyAll();
      session.busy = false;
      kept_alive = exchange.kept_alive() && !exchange.broken();
    }
    boost::system::error_code ec;
    session.stream.socket().shutdown(tcp::socket::shutdown_send, ec);
  }

  void HandleRequest(Fiber& fiber,
                     const HttpRequest& request,
                     ServerExchange& exchange) {
    try {
      handler(fiber, request, exchange);
    } catch (const std::exception& e) {
      HandleFailure(exchange, e.what());
    }
    if (on_answered) {
      on_answered(request, exchange.sent_bytes());
    }
  }

  void HandleFailure(HttpExchange& exchange, const char* what) {
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
  const auto parsed = ParseEndpoint(address);
  if (!parsed) {
    throw std::runtime_error("listen address '" + address +
                             "' is not ip:port; write e.g. 127.0.0.1:8080");
  }
  const tcp::endpoint endpoint(boost::asio::ip::make_address(parsed->ip),
                               parsed->port);
  boost::system::error_code ec;
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

void HttpServer::LimitBodyMemory(std::shared_ptr<MemoryBudget> budget,
                                 std::size_t exempt_bytes) {
  impl_->body_memory = std::move(budget);
  impl_->exempt_bytes = exempt_bytes;
}

void HttpServer::CloseAfterReplies() {
  impl_->closing = true;
}

void HttpServer::Drain() {
  impl_->draining = true;
  impl_->AcceptQueued();
  boost::system::error_code ec;
  impl_->acceptor.close(ec);
  for (auto* it : impl_->sessions) {
    if (!it->busy && !it->reading) {
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

std::size_t HttpServer::connections() const {
  return impl_->sessions.size();
}

}  // namespace comfreyfold
