#include "net/http_client.h"

#include <algorithm>
#include <array>
#include <map>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "net/loop_impl.h"
#include "net/parked.h"

namespace comfreyfold {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;

namespace {

// A connection that was idle for so long is closed when another is kept.
constexpr std::chrono::seconds kIdleTooLong{10};
constexpr std::uint64_t kBodyLimitBytes = 256ULL * 1024 * 1024;
constexpr std::size_t kPieceBytes = 16 * 1024;
constexpr std::size_t kReadBytes = 4096;
// After a piece of this size more is likely to wait in the socket already.
constexpr std::size_t kMorePieceBytes = kReadBytes / 2;
constexpr std::chrono::milliseconds kCancelStep{50};

tcp::endpoint ParseEndpoint(const std::string& address) {
  const auto n = address.rfind(':');
  boost::system::error_code ec;
  const auto ip = boost::asio::ip::make_address(address.substr(0, n), ec);
  if (ec || n == std::string::npos) {
    throw HttpFailure("address '" + address + "' is not ip:port", false);
  }
  const auto port = std::strtoul(address.c_str() + n + 1, nullptr, 10);
  return {ip, static_cast<std::uint16_t>(port)};
}

struct Connection {
  explicit Connection(boost::asio::io_context& io) : stream(io) {
    buf.reserve(kReadBytes);  // One read takes what there is room for.
  }
  beast::tcp_stream stream;
  beast::flat_buffer buf;
  // When it was last used, and when the other side will close it if idle.
  std::chrono::steady_clock::time_point idle_since;
  std::chrono::steady_clock::time_point usable_until;
};

// The end of a kept connection as its "Keep-Alive: timeout=N" tells it.
std::chrono::steady_clock::time_point UsableUntil(const HttpReply& reply) {
  constexpr std::string_view kParameter = "timeout=";
  // The other side counts from when it sent the reply.
  constexpr std::chrono::milliseconds kMargin{250};
  const auto text = reply.Header("Keep-Alive");
  const auto n = text.find(kParameter);
  if (n == std::string::npos) {
    return std::chrono::steady_clock::time_point::max();
  }
  const std::chrono::seconds timeout(
      std::strtol(text.c_str() + n + kParameter.size(), nullptr, 10));
  return std::chrono::steady_clock::now() + timeout - kMargin;
}

http::request<http::string_body> ToBeast(const std::string& address,
                                         const HttpRequest& request) {
  http::request<http::string_body> out;
  out.version(11);
  out.method_string(request.method);
  out.target(request.target);
  out.set(http::field::host, address);
  for (const auto& it : request.headers) {
    if (beast::iequals(it.name, "host")) {
      out.set(http::field::host, it.value);
    } else {
      out.insert(it.name, it.value);
    }
  }
  out.body() = request.body;
  out.prepare_payload();
  return out;
}

template <typename Fields>
void CopyHeaders(const Fields& fields, std::vector<HttpHeader>& out) {
  for (const auto& it : fields) {
    out.push_back({std::string(it.name_string()), std::string(it.value())});
  }
}

// Asks the `cancelled` hook while an exchange waits for the other side, and
// breaks the wait off when told to, or when nothing has come for too long.
class ExchangeWatch {
 public:
  ExchangeWatch(boost::asio::io_context& io,
                beast::tcp_stream& stream,
                const std::function<bool()>& cancelled)
      : state_(std::make_shared<State>(io, stream, cancelled)) {
    if (cancelled) {
      state_->Arm();
    }
  }
  ~ExchangeWatch() {
    // The timer's handler may run after the exchange is gone.
    state_->over = true;
    state_->timer.cancel();
  }
  ExchangeWatch(const ExchangeWatch&) = delete;
  ExchangeWatch& operator=(const ExchangeWatch&) = delete;

  // Moves the end of the wait. The timer runs on and looks when it fires: a
  // timer set anew for each token would cost as much as its read.
  void ExpireAfter(std::chrono::milliseconds time) {
    state_->deadline = Clock::now() + time;
    if (!state_->armed) {
      state_->Arm();
    }
  }

 private:
  using Clock = std::chrono::steady_clock;

  struct State : std::enable_shared_from_this<State> {
    State(boost::asio::io_context& io,
          beast::tcp_stream& watched,
          const std::function<bool()>& asked)
        : timer(io), stream(watched), cancelled(asked) {}

    void Arm() {
      armed = true;
      timer.expires_at(cancelled
                           ? std::min(deadline, Clock::now() + kCancelStep)
                           : deadline);
      timer.async_wait([self = shared_from_this()](boost::system::error_code) {
        self->armed = false;
        if (self->over) {
          return;
        }
        if (Clock::now() >= self->deadline ||
            (self->cancelled && self->cancelled())) {
          self->stream.cancel();
        } else {
          self->Arm();
        }
      });
    }

    boost::asio::steady_timer timer;
    beast::tcp_stream& stream;
    const std::function<bool()>& cancelled;
    Clock::time_point deadline = Clock::time_point::max();
    bool armed = false;
    bool over = false;
  };

  std::shared_ptr<State> state_;
};

using Parser = http::response_parser<http::buffer_body>;

// Parses all that has been read. Beast's own reads stop after each chunk,
// and a piece for each would be a write for each further on.
void ParseArrived(beast::flat_buffer& buf,
                  Parser& parser,
                  boost::system::error_code& ec) {
  while (!ec && !parser.is_done() && buf.size() > 0 &&
         parser.get().body().size > 0) {
    buf.consume(parser.put(buf.data(), ec));
  }
  if (ec == http::error::need_buffer || ec == http::error::need_more) {
    ec = {};
  }
}

void ReadMore(Fiber& fiber,
              Connection& connection,
              Parser& parser,
              boost::system::error_code& ec) {
  auto& buf = connection.buf;
  buf.commit(connection.stream.socket().async_read_some(buf.prepare(kReadBytes),
                                                        Parked(fiber)[ec]));
  if (ec == boost::asio::error::eof) {
    ec = {};
    parser.put_eof(ec);
  }
}

void PauseReading(Fiber& fiber, const HttpOptions& options) {
  if (!options.read_pause) {
    return;
  }
  const auto pause = options.read_pause();
  if (pause > std::chrono::milliseconds::zero()) {
    fiber.Sleep(pause);
  }
}

}  // namespace

struct HttpClient::Impl {
  Impl(Loop& owner, std::size_t most) : loop(owner), idle_per_address(most) {}

  Loop& loop;
  std::size_t idle_per_address;
  std::vector<std::pair<std::string, HttpHeader>> added_headers;
  std::function<void(const HttpRequest&, std::size_t)> on_sent;
  std::int64_t connections_opened = 0;

  http::request<http::string_body> Message(const std::string& address,
                                           const HttpRequest& request) const {
    auto out = ToBeast(address, request);
    for (const auto& [prefix, header] : added_headers) {
      if (request.target.rfind(prefix, 0) == 0) {
        out.set(header.name, header.value);
      }
    }
    return out;
  }
  std::map<std::string, std::vector<std::unique_ptr<Connection>>> idle;

  std::unique_ptr<Connection> TakeIdle(
      const std::string& address,
      std::chrono::milliseconds max_idle_time) {
    auto& pool = idle[address];
    const auto now = std::chrono::steady_clock::now();
    while (!pool.empty()) {
      auto connection = std::move(pool.back());
      pool.pop_back();
      if (now < connection->usable_until &&
          now - connection->idle_since <= max_idle_time &&
          StillOpen(*connection)) {
        return connection;
      }
    }
    return nullptr;
  }

  // A connection the other side has closed reads as ready with no bytes.
  static bool StillOpen(Connection& connection) {
    auto& socket = connection.stream.socket();
    boost::system::error_code ec;
    socket.non_blocking(true, ec);
    char byte = 0;
    socket.receive(boost::asio::buffer(&byte, 1),
                   boost::asio::socket_base::message_peek, ec);
    return ec == boost::asio::error::would_block;
  }

  std::unique_ptr<Connection> Connect(Fiber& fiber,
                                      const std::string& address,
                                      std::chrono::milliseconds timeout) {
    auto connection = std::make_unique<Connection>(loop.impl().io);
    connection->stream.expires_after(timeout);
    ++connections_opened;
    boost::system::error_code ec;
    connection->stream.async_connect(ParseEndpoint(address), Parked(fiber)[ec]);
    if (ec) {
      throw HttpFailure("connect to " + address + ": " + ec.message(), false);
    }
    connection->stream.socket().set_option(tcp::no_delay(true), ec);
    return connection;
  }

  void Keep(const std::string& address,
            std::unique_ptr<Connection> connection,
            const HttpReply& reply) {
    auto& pool = idle[address];
    const auto now = std::chrono::steady_clock::now();
    // The last one that was used is taken first: the others age in front.
    while (!pool.empty() && now - pool.front()->idle_since > kIdleTooLong) {
      pool.erase(pool.begin());
    }
    // Bytes beyond the reply belong to no request.
    if (connection->buf.size() == 0 && pool.size() < idle_per_address) {
      connection->idle_since = now;
      connection->usable_until = UsableUntil(reply);
      connection->stream.expires_never();
      pool.push_back(std::move(connection));
    }
  }
};

HttpClient::HttpClient(Loop& loop, std::size_t idle_per_address)
    : impl_(std::make_shared<Impl>(loop, idle_per_address)) {}
HttpClient::~HttpClient() = default;

void HttpClient::AddHeader(std::string prefix, HttpHeader header) {
  impl_->added_headers.emplace_back(std::move(prefix), std::move(header));
}

void HttpClient::OnSent(
    std::function<void(const HttpRequest&, std::size_t)> hook) {
  impl_->on_sent = std::move(hook);
}

std::int64_t HttpClient::connections_opened() const {
  return impl_->connections_opened;
}

namespace {

[[noreturn]] void Fail(const std::string& doing,
                       const std::string& address,
                       boost::system::error_code ec) {
  throw HttpFailure(doing + " " + address + ": " + ec.message(), true);
}

bool IsInterim(int status) {
  return status / 100 == 1;
}

// Reads one reply from the connection; `keep` tells whether it may be reused.
class ReplyReader {
 public:
  ReplyReader(Fiber& fiber,
              const std::string& address,
              Connection& connection,
              ExchangeWatch& watch,
              const HttpOptions& options)
      : fiber_(fiber),
        address_(address),
        connection_(connection),
        watch_(watch),
        options_(options) {}

  // False when the reply answers something else.
  bool Read(HttpReply& reply) {
    Parser parser;
    parser.body_limit(kBodyLimitBytes);
    boost::system::error_code ec;
    http::async_read_header(connection_.stream, connection_.buf, parser,
                            Parked(fiber_)[ec]);
    if (ec) {
      Fail("read from", address_, ec);
    }
    reply = {};
    reply.status = parser.get().result_int();
    CopyHeaders(parser.get(), reply.headers);
    const bool taken =
        !IsInterim(reply.status) &&
        (!options_.on_head || options_.on_head(reply) == ReplyAction::kAccept);
    ReadBody(parser, reply, taken);
    keep_alive_ = parser.get().keep_alive();
    return taken;
  }

  bool keep_alive() const { return keep_alive_; }

 private:
  void ReadBody(Parser& parser, HttpReply& reply, bool taken) {
    const bool piecewise = taken && options_.on_data && reply.status / 100 == 2;
    boost::system::error_code ec;
    std::array<char, kPieceBytes> piece;
    while (!parser.is_done()) {
      if (options_.cancelled && options_.cancelled()) {
        throw HttpFailure("cancelled", true);
      }
      parser.get().body().data = piece.data();
      parser.get().body().size = piece.size();
      ParseArrived(connection_.buf, parser, ec);
      if (ec) {
        Fail("read from", address_, ec);
      }
      const std::string_view data(piece.data(),
                                  piece.size() - parser.get().body().size);
      if (data.empty()) {
        Await(parser);
      } else if (piecewise) {
        options_.on_data(data);
        if (!parser.is_done() && data.size() < kMorePieceBytes) {
          PauseReading(fiber_, options_);
        }
      } else {
        reply.body += data;
      }
    }
  }

  void Await(Parser& parser) {
    if (parser.is_done()) {
      return;
    }
    boost::system::error_code ec;
    watch_.ExpireAfter(options_.idle_timeout);
    ReadMore(fiber_, connection_, parser, ec);
    if (ec) {
      Fail("read from", address_, ec);
    }
  }

  Fiber& fiber_;
  const std::string& address_;
  Connection& connection_;
  ExchangeWatch& watch_;
  const HttpOptions& options_;
  bool keep_alive_ = false;
};

}  // namespace

HttpReply HttpClient::Send(Fiber& fiber,
                           const std::string& address,
                           const HttpRequest& request,
                           const HttpOptions& options) {
  auto connection = options.fresh_connection
                        ? nullptr
                        : impl_->TakeIdle(address, options.max_idle_time);
  if (!connection) {
    connection = impl_->Connect(fiber, address, options.connect_timeout);
    if (options.cancelled && options.cancelled()) {
      throw HttpFailure("cancelled", false);
    }
  }
  auto& stream = connection->stream;
  boost::system::error_code ec;

  ExchangeWatch watch(impl_->loop.impl().io, stream, options.cancelled);
  auto message = impl_->Message(address, request);
  if (options.on_sending) {
    options.on_sending();
  }
  stream.expires_after(options.idle_timeout);
  const auto sent = http::async_write(stream, message, Parked(fiber)[ec]);
  if (ec) {
    Fail("write to", address, ec);
  }
  if (impl_->on_sent) {
    impl_->on_sent(request, sent);
  }

  HttpReply reply;
  ReplyReader reader(fiber, address, *connection, watch, options);
  while (!reader.Read(reply)) {
  }
  if (reader.keep_alive()) {
    impl_->Keep(address, std::move(connection), reply);
  }
  return reply;
}

}  // namespace comfreyfold
