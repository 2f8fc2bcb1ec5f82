#ifndef NET_HTTP_CLIENT_H_
#define NET_HTTP_CLIENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

#include "net/http.h"
#include "net/loop.h"

namespace comfreyfold {

// A request that got no whole reply. `sent` is false only when not one byte
// of the request can have reached the other side.
class HttpFailure : public std::runtime_error {
 public:
  HttpFailure(const std::string& what, bool sent)
      : std::runtime_error(what), sent_(sent) {}
  bool sent() const { return sent_; }

 private:
  bool sent_;
};

// What to do with a reply whose head has arrived.
enum class ReplyAction {
  kAccept,   // It answers the request.
  kDiscard,  // It answers something else: read past it and wait for the next.
};

struct HttpOptions {
  std::chrono::milliseconds connect_timeout{1000};
  // Longest time without progress, not of the whole exchange.
  std::chrono::milliseconds idle_timeout{5000};
  // A pooled connection may have been closed unseen, which leaves open
  // whether the request ran; calls that must not run twice use a fresh one.
  bool fresh_connection = false;
  // A pooled connection that was idle for longer is not used.
  std::chrono::milliseconds max_idle_time{30000};
  // Told the head of each reply before its body is read.
  std::function<ReplyAction(const HttpReply&)> on_head;
  // Told once, when the first bytes of the request may have left.
  std::function<void()> on_sending;
  // Takes the body of a 2xx reply piece by piece instead of `body`.
  std::function<void(std::string_view)> on_data;
  // Asked after each piece for `on_data`: what arrives within that time is
  // left unread and comes as one piece.
  std::function<std::chrono::milliseconds()> read_pause;
  // Asked again and again while the exchange waits; true abandons it.
  std::function<bool()> cancelled;
};

// HTTP/1.1 client (Boost.Beast) with idle connections kept per address.
class HttpClient {
 public:
  static constexpr std::size_t kIdlePerAddress = 64;

  // Keeps at most `idle_per_address` connections that nothing uses.
  explicit HttpClient(Loop& loop,
                      std::size_t idle_per_address = kIdlePerAddress);
  ~HttpClient();

  // Sends `request` to `address` ("ip:port") and waits for the reply.
  // Throws HttpFailure.
  HttpReply Send(Fiber& fiber,
                 const std::string& address,
                 const HttpRequest& request,
                 const HttpOptions& options = {});

  // Adds `header` to each request whose target starts with `prefix`.
  void AddHeader(std::string prefix, HttpHeader header);

  // Connections opened so far.
  std::int64_t connections_opened() const;

  // Told the bytes written for each request.
  void OnSent(std::function<void(const HttpRequest&, std::size_t)> hook);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace comfreyfold

#endif  // NET_HTTP_CLIENT_H_
