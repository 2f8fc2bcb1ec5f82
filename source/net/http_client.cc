#include "net/http_client.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "net/client_message.h"
#include "net/endpoint.h"
#include "net/exchange_watchdog.h"
#include "net/loop_impl.h"
#include "net/yield_token.h"

namespace comfreyfold {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;

namespace {

// Bytes that may wait for the end of an element that is parsed as a whole, such
// as the line before a chunk or the trailers. A faulty server may never send
// that end.
constexpr std::size_t kMaxUnparsedBytes = 64 * 1024;
// Interim replies, and replies to other requests, that may precede a reply.
constexpr int kMaxSkippedReplies = 16;
// A body that is not needed is read nevertheless, so that the connection can be
// used again, unless it is longer or takes longer than this.
constexpr std::size_t kMaxDroppedBytes = 64 * 1024;
constexpr std::chrono::milliseconds kMaxDropTime{100};
constexpr std::size_t kMaxPieceBytes = 16 * 1024;
constexpr std::size_t kReadBytes = 4096;
// After a piece of at least this size, more data is probably waiting in the
// socket already, so reading continues without a pause.
constexpr std::size_t kNoPauseBytes = kReadBytes / 2;

struct Connection {
  explicit Connection(boost::asio::io_context& io) : stream(io) {
    buf.reserve(kReadBytes);  // The capacity bounds the size of one read.
  }
  beast::tcp_stream stream;
  beast::flat_buffer buf;
  // When it was last used, and until when the server keeps it open if idle.
  std::chrono::steady_clock::time_point idle_since;
  std::chrono::steady_clock::time_point usable_until;
  // The process at the other end, if it was checked.
  std::optional<std::string> peer;
};

// Returns the time until which an idle connection may be used, according to the
// "Keep-Alive: timeout=N" header of its last reply.
std::chrono::steady_clock::time_point UsableUntil(const HttpReply& reply) {
  constexpr std::string_view kParameter = "timeout=";
  // The server's timeout starts when it sends the reply, which is earlier.
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

template <typename Parser>
BodyFraming FramingOf(const Parser& parser) {
  if (parser.chunked()) {
    return BodyFraming::kChunks;
  }
  return parser.need_eof() ? BodyFraming::kConnectionEnd : BodyFraming::kLength;
}

template <typename Fields>
void CopyHeaders(const Fields& fields, std::vector<HttpHeader>& out) {
  for (const auto& it : fields) {
    out.push_back({std::string(it.name_string()), std::string(it.value())});
  }
}

using Parser = http::response_parser<http::buffer_body>;

// Parses all data in the buffer. Beast's own read functions stop after each
// chunk, and passing on single chunks would cost the receiver of the data one
// write per chunk.
void ParseBuffered(beast::flat_buffer& buf,
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
                                                        YieldToken(fiber)[ec]));
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
  Impl(Loop& owner, std::size_t max_idle, std::chrono::milliseconds max_time)
      : loop(owner), idle_per_address(max_idle), idle_time(max_time) {}

  using Pool = std::vector<std::unique_ptr<Connection>>;

  Loop& loop;
  std::size_t idle_per_address;
  std::chrono::milliseconds idle_time;
  std::vector<std::pair<std::string, HttpHeader>> added_headers;
  std::function<void(const HttpRequest&, std::size_t)> on_sent;
  std::int64_t connections_opened = 0;

  ClientMessage BuildMessage(const std::string& address,
                             const HttpRequest& request,
                             const std::string& body) const {
    auto out = ToClientMessage(address, request, body);
    for (const auto& [prefix, header] : added_headers) {
      if (request.target.rfind(prefix, 0) == 0) {
        out.set(header.name, header.value);
      }
    }
    return out;
  }
  std::map<std::string, Pool> idle;
  std::chrono::steady_clock::time_point all_evicted_at;

  // Whether the process at the other end may get a request with `options`.
  static bool IsAccepted(const Connection& connection,
                         const HttpOptions& options) {
    return options.peer_check == nullptr ||
           (connection.peer && options.accept_peer(*connection.peer));
  }

  std::unique_ptr<Connection> TakeIdle(const std::string& address,
                                       const HttpOptions& options) {
    auto& pool = idle[address];
    const auto now = std::chrono::steady_clock::now();
    for (auto n = pool.size(); n > 0; --n) {
      const auto it = pool.begin() + static_cast<std::ptrdiff_t>(n - 1);
      if (!IsAccepted(**it, options)) {
        continue;
      }
      auto connection = std::move(*it);
      pool.erase(it);
      if (now < connection->usable_until &&
          now - connection->idle_since <= options.max_idle_time &&
          IsOpen(*connection)) {
        return connection;
      }
    }
    return nullptr;
  }

  // Peeks at the socket: would_block means that the connection is open and has
  // no unread data. A connection closed by the server reads as end of file.
  static bool IsOpen(Connection& connection) {
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
                                      std::chrono::milliseconds timeout,
                                      boost::system::error_code& ec) {
    auto connection = std::make_unique<Connection>(loop.impl().io);
    const auto endpoint = ParseEndpoint(address);
    if (!endpoint) {
      ec = boost::asio::error::invalid_argument;
      return connection;
    }
    connection->stream.expires_after(timeout);
    ++connections_opened;
    connection->stream.async_connect(
        {boost::asio::ip::make_address(endpoint->ip), endpoint->port},
        YieldToken(fiber)[ec]);
    if (!ec) {
      boost::system::error_code ignored;
      connection->stream.socket().set_option(tcp::no_delay(true), ignored);
    }
    return connection;
  }

  // TakeIdle takes from the back, so the longest idle connections are in front.
  void Evict(Pool& pool, std::chrono::steady_clock::time_point now) const {
    while (!pool.empty() && now - pool.front()->idle_since > idle_time) {
      pool.erase(pool.begin());
    }
  }

  // No connection returns to the pool of an address that is out of use.
  void EvictFromAll(std::chrono::steady_clock::time_point now) {
    if (now - all_evicted_at < idle_time) {
      return;
    }
    all_evicted_at = now;
    for (auto& [address, pool] : idle) {
      Evict(pool, now);
    }
    std::erase_if(idle, [](const auto& it) { return it.second.empty(); });
  }

  void ReturnToPool(const std::string& address,
                    std::unique_ptr<Connection> connection,
                    std::chrono::steady_clock::time_point usable_until) {
    const auto now = std::chrono::steady_clock::now();
    EvictFromAll(now);
    auto& pool = idle[address];
    Evict(pool, now);
    // A connection with data after the end of the reply is not reused, because
    // that data belongs to no request.
    if (connection->buf.size() == 0 && pool.size() < idle_per_address) {
      connection->idle_since = now;
      connection->usable_until = usable_until;
      connection->stream.expires_never();
      pool.push_back(std::move(connection));
    }
  }
};

HttpClient::HttpClient(Loop& loop,
                       std::size_t idle_per_address,
                       std::chrono::milliseconds idle_time)
    : impl_(std::make_shared<Impl>(loop, idle_per_address, idle_time)) {}
HttpClient::~HttpClient() = default;

void HttpClient::AddHeader(std::string prefix, HttpHeader header) {
  impl_->added_headers.emplace_back(std::move(prefix), std::move(header));
}

void HttpClient::CloseIdle(const std::string& address) {
  impl_->idle.erase(address);
}

void HttpClient::OnSent(
    std::function<void(const HttpRequest&, std::size_t)> hook) {
  impl_->on_sent = std::move(hook);
}

std::int64_t HttpClient::connections_opened() const {
  return impl_->connections_opened;
}

namespace {

[[noreturn]] void ThrowFailure(const std::string& operation,
                               const std::string& address,
                               boost::system::error_code ec) {
  throw HttpFailure(operation + " " + address + ": " + ec.message(), true);
}

bool IsInterim(int status) {
  return status / 100 == 1;
}

// The parser takes any three digits for a status.
bool IsHttpStatus(int status) {
  constexpr int kFirst = 100;
  constexpr int kLast = 599;
  return status >= kFirst && status <= kLast;
}

// Reads the reply to a request. Afterwards `keep_alive` tells whether the
// connection may be reused.
class ReplyReader {
 public:
  ReplyReader(Fiber& fiber,
              const std::string& address,
              Connection& connection,
              ExchangeWatchdog& watchdog,
              const HttpOptions& options)
      : fiber_(fiber),
        address_(address),
        connection_(connection),
        watchdog_(watchdog),
        options_(options) {}

  // Reads the reply to the request, after skipping interim (1xx) replies and
  // those that the `on_head` hook discards.
  void Read(HttpReply& reply) {
    for (int n = 0; !ReadOne(reply); ++n) {
      if (n == kMaxSkippedReplies) {
        throw HttpFailure(
            "read from " + address_ + ": too many interim or foreign replies",
            true);
      }
    }
  }

  bool keep_alive() const { return keep_alive_; }

 private:
  // Returns false if the reply is to be skipped.
  bool ReadOne(HttpReply& reply) {
    Parser parser;
    parser.body_limit(options_.max_body_bytes);
    boost::system::error_code ec;
    http::async_read_header(connection_.stream, connection_.buf, parser,
                            YieldToken(fiber_)[ec]);
    if (ec) {
      ThrowFailure("read from", address_, ec);
    }
    reply = {};
    reply.status = parser.get().result_int();
    if (!IsHttpStatus(reply.status)) {
      // Nothing else in such a head counts, not even a refusal, and no hook
      // sees it. The connection is closed.
      throw HttpFailure("read from " + address_ + ": status " +
                            std::to_string(reply.status) + " is no HTTP status",
                        true);
    }
    reply.framing = FramingOf(parser);
    CopyHeaders(parser.get(), reply.headers);
    if (IsInterim(reply.status) && options_.on_interim) {
      options_.on_interim(reply);
    }
    auto action = ReplyAction::kDiscard;
    if (!IsInterim(reply.status)) {
      action =
          options_.on_head ? options_.on_head(reply) : ReplyAction::kAccept;
    }
    if (action == ReplyAction::kHeadOnly) {
      keep_alive_ =
          DropBody(parser) && !distrusted_ && parser.get().keep_alive();
      return true;
    }
    const bool accepted = action == ReplyAction::kAccept;
    if (!accepted && !IsInterim(reply.status)) {
      Distrust(parser);
    }
    ReadBody(parser, reply, accepted);
    keep_alive_ = !distrusted_ && parser.get().keep_alive();
    return accepted;
  }

  // A connection on which another request's reply came is not used again, and
  // nothing follows a reply that ends it.
  void Distrust(const Parser& parser) {
    distrusted_ = true;
    if (!parser.get().keep_alive()) {
      throw HttpFailure(
          "read from " + address_ + ": ended by a reply to another request",
          true);
    }
  }

  // Reads the rest of a reply whose body is not needed. Returns whether its end
  // was reached.
  bool DropBody(Parser& parser) {
    const auto deadline = std::chrono::steady_clock::now() + kMaxDropTime;
    std::array<char, kMaxPieceBytes> piece;
    std::size_t dropped = 0;
    boost::system::error_code ec;
    while (!parser.is_done()) {
      parser.get().body().data = piece.data();
      parser.get().body().size = piece.size();
      ParseBuffered(connection_.buf, parser, ec);
      const auto n = piece.size() - parser.get().body().size;
      dropped += n;
      const auto left = std::chrono::ceil<std::chrono::milliseconds>(
          deadline - std::chrono::steady_clock::now());
      if (ec || dropped > kMaxDroppedBytes ||
          connection_.buf.size() > kMaxUnparsedBytes || left.count() <= 0) {
        return false;
      }
      if (n == 0 && !parser.is_done()) {
        watchdog_.ExpireAfter(left);
        ReadMore(fiber_, connection_, parser, ec);
      }
      if (ec) {
        return false;
      }
    }
    return true;
  }

  void ReadBody(Parser& parser, HttpReply& reply, bool accepted) {
    const bool streamed =
        accepted && options_.on_data && reply.status / 100 == 2;
    boost::system::error_code ec;
    std::array<char, kMaxPieceBytes> piece;
    while (!parser.is_done()) {
      if (options_.cancelled && options_.cancelled()) {
        throw HttpFailure("cancelled", true);
      }
      parser.get().body().data = piece.data();
      parser.get().body().size = piece.size();
      ParseBuffered(connection_.buf, parser, ec);
      if (ec) {
        ThrowFailure("read from", address_, ec);
      }
      const std::string_view data(piece.data(),
                                  piece.size() - parser.get().body().size);
      if (data.empty()) {
        ReadMoreBody(parser);
      } else if (streamed) {
        options_.on_data(data);
        if (!parser.is_done() && data.size() < kNoPauseBytes) {
          PauseReading(fiber_, options_);
        }
      } else if (accepted) {
        if (options_.on_collect && !options_.on_collect(data.size())) {
          throw HttpFailure(
              "read from " + address_ + ": the body exceeds what may be held",
              true);
        }
        reply.body += data;
      }
    }
  }

  void ReadMoreBody(Parser& parser) {
    if (parser.is_done()) {
      return;
    }
    if (connection_.buf.size() > kMaxUnparsedBytes) {
      throw HttpFailure(
          "read from " + address_ + ": chunk header or trailer without end",
          true);
    }
    boost::system::error_code ec;
    watchdog_.ExpireAfter(options_.idle_timeout);
    ReadMore(fiber_, connection_, parser, ec);
    if (ec) {
      ThrowFailure("read from", address_, ec);
    }
  }

  Fiber& fiber_;
  const std::string& address_;
  Connection& connection_;
  ExchangeWatchdog& watchdog_;
  const HttpOptions& options_;
  bool keep_alive_ = false;
  bool distrusted_ = false;
};

// Throws PeerNotAccepted unless the process at the other end is accepted. The
// time limits of the check must not hold for the exchange that follows.
void CheckPeer(Fiber& fiber,
               const std::string& address,
               Connection& connection,
               boost::asio::io_context& io,
               const ClientMessage& message,
               const HttpOptions& options) {
  constexpr std::chrono::milliseconds kMaxTime{500};
  constexpr std::uint64_t kMaxBytes = 64UL * 1024;
  HttpOptions check_options;
  check_options.idle_timeout = std::min(options.idle_timeout, kMaxTime);
  check_options.max_body_bytes = kMaxBytes;
  check_options.cancelled = options.cancelled;
  ExchangeWatchdog watchdog(io, connection.stream, check_options.cancelled,
                            kMaxTime);
  connection.stream.expires_after(check_options.idle_timeout);
  bool accepted = false;
  try {
    boost::system::error_code ec;
    http::async_write(connection.stream, message, YieldToken(fiber)[ec]);
    if (ec) {
      ThrowFailure("write to", address, ec);
    }
    HttpReply reply;
    ReplyReader reader(fiber, address, connection, watchdog, check_options);
    reader.Read(reply);
    connection.peer = options.identify_peer(reply);
    accepted = options.accept_peer(*connection.peer) && reader.keep_alive();
  } catch (const HttpFailure& e) {
    throw PeerNotAccepted(e.what());
  }
  if (!accepted) {
    throw PeerNotAccepted(address +
                          " is not the expected process, or closes the "
                          "connection");
  }
}

}  // namespace

HttpReply HttpClient::Send(Fiber& fiber,
                           const std::string& address,
                           const HttpRequest& request,
                           const HttpOptions& options) {
  auto connection =
      options.fresh_connection ? nullptr : impl_->TakeIdle(address, options);
  boost::system::error_code ec;
  if (!connection) {
    connection = impl_->Connect(fiber, address, options.connect_timeout, ec);
  }
  if (ec) {
    throw HttpFailure("connect to " + address + ": " + ec.message(), false);
  }
  if (options.cancelled && options.cancelled()) {
    throw HttpFailure("cancelled", false);
  }
  auto& stream = connection->stream;

  if (options.peer_check != nullptr && !connection->peer) {
    CheckPeer(fiber, address, *connection, impl_->loop.impl().io,
              impl_->BuildMessage(address, *options.peer_check, ""), options);
  }
  ExchangeWatchdog watchdog(impl_->loop.impl().io, stream, options.cancelled,
                            options.total_timeout);
  const auto message = impl_->BuildMessage(
      address, request, options.body != nullptr ? *options.body : request.body);
  if (options.on_sending) {
    options.on_sending();
  }
  stream.expires_after(options.idle_timeout);
  const auto sent = http::async_write(stream, message, YieldToken(fiber)[ec]);
  if (ec) {
    ThrowFailure("write to", address, ec);
  }
  if (impl_->on_sent) {
    impl_->on_sent(request, sent);
  }

  HttpReply reply;
  ReplyReader reader(fiber, address, *connection, watchdog, options);
  reader.Read(reply);
  if (reader.keep_alive()) {
    impl_->ReturnToPool(address, std::move(connection), UsableUntil(reply));
  }
  return reply;
}

ConnectResult HttpClient::TryConnect(Fiber& fiber,
                                     const std::string& address,
                                     std::chrono::milliseconds timeout) {
  boost::system::error_code ec;
  auto connection = impl_->Connect(fiber, address, timeout, ec);
  if (ec) {
    return ec == boost::asio::error::connection_refused
               ? ConnectResult::kRefused
               : ConnectResult::kUnreachable;
  }
  impl_->ReturnToPool(address, std::move(connection),
                      std::chrono::steady_clock::time_point::max());
  return ConnectResult::kAccepted;
}

}  // namespace comfreyfold
