#ifndef NET_HTTP_CLIENT_H_
#define NET_HTTP_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

#include "net/http.h"
#include "net/loop.h"

namespace comfreyfold {

// Thrown when a request got no complete reply. `sent` is false only if no byte
// of the request can have reached the server.
class HttpFailure : public std::runtime_error {
 public:
  HttpFailure(const std::string& what, bool sent)
      : std::runtime_error(what), sent_(sent) {}
  bool sent() const { return sent_; }

 private:
  bool sent_;
};

// Thrown when the process at the other end is not the one to send a request to,
// or did not say so in time. Nothing of the request was sent.
class PeerNotAccepted : public HttpFailure {
 public:
  explicit PeerNotAccepted(const std::string& what)
      : HttpFailure(what, false) {}
};

// What to do with a reply whose status and headers have arrived.
enum class ReplyAction {
  kAccept,    // Read it as the reply to this request.
  kHeadOnly,  // It is the reply to this request, and its body is not needed.
  kDiscard,   // It answers another request: skip it and read the next reply.
};

struct HttpOptions {
  std::chrono::milliseconds connect_timeout{1000};
  // Limit on the time without progress, not on the whole exchange.
  std::chrono::milliseconds idle_timeout{5000};
  // Limit on the whole exchange once there is a connection; 0: none. A peer
  // that sends a byte now and then never exceeds `idle_timeout`.
  std::chrono::milliseconds total_timeout{0};
  // Largest body of a reply.
  std::uint64_t max_body_bytes = 256ULL * 1024 * 1024;
  // Sent in place of the request's own body, without a copy; must outlive the
  // exchange.
  const std::string* body = nullptr;
  // Called before `n` more bytes of a body are added to HttpReply::body.
  // Returning false ends the exchange with HttpFailure.
  std::function<bool(std::size_t n)> on_collect;
  // Opens a new connection instead of using a pooled one. The server may have
  // closed a pooled connection unnoticed, and then it is unknown whether the
  // request ran. Calls that must not run twice set this.
  bool fresh_connection = false;
  // A pooled connection that has been idle for longer is not used.
  std::chrono::milliseconds max_idle_time{30000};
  // Called with the status and headers of each reply before its body is read.
  std::function<ReplyAction(const HttpReply&)> on_head;
  // Called with each interim (1xx) reply, which is then skipped.
  std::function<void(const HttpReply&)> on_interim;
  // Called once, just before the request is written to the connection.
  std::function<void()> on_sending;
  // Receives the body of a 2xx reply in pieces; HttpReply::body stays empty.
  std::function<void(std::string_view)> on_data;
  // Called after a small piece has been passed to `on_data`. Returns how long
  // to pause reading: data that arrives meanwhile is delivered as one piece.
  std::function<std::chrono::milliseconds()> read_pause;
  // Sent before the request on the same new connection, unless null, to learn
  // which process answers there; `identify_peer` takes that from the reply. The
  // exchange ends with PeerNotAccepted before the request is sent if
  // `accept_peer` returns false for it, or there is no reply. A connection
  // keeps its process, so one that was checked is not checked again, and of the
  // pooled ones no others are used.
  const HttpRequest* peer_check = nullptr;
  std::function<std::string(const HttpReply&)> identify_peer;
  std::function<bool(const std::string& peer)> accept_peer;
  // Polled during the exchange; returning true abandons it with HttpFailure.
  std::function<bool()> cancelled;
};

// Outcome of opening a connection.
enum class ConnectResult {
  kAccepted,
  kRefused,      // Nothing listens at the address.
  kUnreachable,  // No answer in time, or another error.
};

// HTTP/1.1 client (Boost.Beast) with a pool of idle connections per address.
class HttpClient {
 public:
  static constexpr std::size_t kIdlePerAddress = 64;
  static constexpr std::chrono::milliseconds kIdleTime{10000};

  // Keeps at most `idle_per_address` idle connections to each address, for
  // `idle_time` or until another request ends, at most twice as long.
  explicit HttpClient(Loop& loop,
                      std::size_t idle_per_address = kIdlePerAddress,
                      std::chrono::milliseconds idle_time = kIdleTime);
  ~HttpClient();

  // Sends `request` to `address` ("ip:port") and waits for the reply.
  // Throws HttpFailure.
  HttpReply Send(Fiber& fiber,
                 const std::string& address,
                 const HttpRequest& request,
                 const HttpOptions& options = {});

  // Opens a connection without sending a request, and keeps it for the next
  // one.
  ConnectResult TryConnect(Fiber& fiber,
                           const std::string& address,
                           std::chrono::milliseconds timeout);

  // Closes the idle connections to `address`, which may be dead.
  void CloseIdle(const std::string& address);

  // Adds `header` to each request whose target starts with `prefix`.
  void AddHeader(std::string prefix, HttpHeader header);

  // Number of connections opened so far, including failed attempts.
  std::int64_t connections_opened() const;

  // Sets the hook that is called with each request sent and the number of bytes
  // written for it.
  void OnSent(std::function<void(const HttpRequest&, std::size_t)> hook);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace comfreyfold

#endif  // NET_HTTP_CLIENT_H_
