#ifndef NET_HTTP_SERVER_H_
#define NET_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/memory_budget.h"
#include "net/http.h"
#include "net/loop.h"

namespace comfreyfold {

// Limits on requests and connections.
struct HttpLimits {
  std::uint64_t body_bytes = 8ULL * 1024 * 1024;
  std::uint32_t header_bytes = 16 * 1024;
  // Time from the first byte of a request to the last byte of its body. A
  // request that takes longer is answered with 408.
  std::chrono::milliseconds request_time{10000};
  // A connection on which no request arrives is closed after this time.
  std::chrono::milliseconds idle_time{60000};
  int connections = 4096;
};

// Sends the response to one request.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  // Sends a complete response. `headers` holds the headers other than
  // Content-Type.
  virtual void Reply(int status,
                     const std::string& content_type,
                     const std::string& body,
                     const std::vector<HttpHeader>& headers = {}) = 0;

  // Sends a chunked response: Begin once, Write any number of times, End once.
  virtual void Begin(int status,
                     const std::string& content_type,
                     const std::vector<HttpHeader>& headers = {}) = 0;
  virtual void Write(std::string_view piece) = 0;
  virtual void End() = 0;

  // Closes the connection without completing the response.
  virtual void Abort() = 0;

  // True once the response has been started or the exchange aborted.
  virtual bool begun() const = 0;
  // True once the connection is known to be closed or has failed.
  virtual bool broken() const = 0;

  // Checks whether the client has closed or reset the connection.
  virtual bool PeerGone() = 0;
};

using HttpHandler =
    std::function<void(Fiber&, const HttpRequest&, HttpExchange&)>;

// HTTP/1.1 server (Boost.Beast) with one coroutine per connection.
class HttpServer {
 public:
  HttpServer(Loop& loop, HttpHandler handler, HttpLimits limits = {});
  ~HttpServer();

  // Listens on "ip:port" and returns the bound address; for port 0 the system
  // chooses a free port. Throws std::runtime_error.
  std::string Listen(const std::string& address);

  // Sets the limits for requests that begin to arrive after this call.
  void SetLimits(const HttpLimits& limits);

  // Takes the bodies of requests from `budget` until the requests have been
  // handled. A request whose body does not fit is answered with 503 if it still
  // does not after a short wait. Bodies of at most `exempt_bytes` always fit.
  void LimitBodyMemory(std::shared_ptr<MemoryBudget> budget,
                       std::size_t exempt_bytes);

  // Closes each connection after its next reply, so that clients switch to
  // another daemon. New connections are still accepted.
  void CloseAfterReplies();

  // Stops accepting connections and closes idle ones. Requests that have
  // arrived, also on connections that were not accepted yet, are completed.
  void Drain();

  // Number of requests being handled.
  int in_flight() const;
  // Number of open connections. None is left some time after Drain().
  std::size_t connections() const;

  // Sets the hook that is called with each handled request and the number of
  // bytes written in response.
  void OnAnswered(std::function<void(const HttpRequest&, std::size_t)> hook);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace comfreyfold

#endif  // NET_HTTP_SERVER_H_
