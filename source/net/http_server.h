#ifndef NET_HTTP_SERVER_H_
#define NET_HTTP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/http.h"
#include "net/loop.h"

namespace comfreyfold {

// Bounds on what a peer may send.
struct HttpLimits {
  std::uint64_t body_bytes = 8ULL * 1024 * 1024;
  std::uint32_t header_bytes = 16 * 1024;
  // From the first byte of a request to the last of its body; one that takes
  // longer is answered 408.
  std::chrono::milliseconds request_time{10000};
  // A connection that sends nothing is closed after this.
  std::chrono::milliseconds idle_time{60000};
  int connections = 4096;
};

// The answering half of one request.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  // Answers whole. Headers beside the content type go in `headers`.
  virtual void Reply(int status,
                     const std::string& content_type,
                     const std::string& body,
                     const std::vector<HttpHeader>& headers = {}) = 0;

  // Answers piece by piece: once Begin, any number of Write, once End.
  virtual void Begin(int status,
                     const std::string& content_type,
                     const std::vector<HttpHeader>& headers = {}) = 0;
  virtual void Write(std::string_view piece) = 0;
  virtual void End() = 0;

  // Closes the connection without an answer.
  virtual void Abort() = 0;

  virtual bool begun() const = 0;
  // True once the other side is known to be gone.
  virtual bool broken() const = 0;

  // Looks whether the other side has closed or reset its connection.
  virtual bool PeerGone() = 0;
};

using HttpHandler =
    std::function<void(Fiber&, const HttpRequest&, HttpExchange&)>;

// HTTP/1.1 server (Boost.Beast), one coroutine a connection.
class HttpServer {
 public:
  HttpServer(Loop& loop, HttpHandler handler, HttpLimits limits = {});
  ~HttpServer();

  // Binds "ip:port" (port 0: the system chooses) and returns the address
  // bound. Throws std::runtime_error.
  std::string Listen(const std::string& address);

  // Applies to requests that begin to arrive after the call.
  void SetLimits(const HttpLimits& limits);

  // Closes each connection after its next reply, so that callers turn to
  // another daemon; new connections are still taken.
  void CloseAfterReplies();

  // Takes no new connection and closes idle ones; requests in flight go on.
  void Drain();

  // Requests being handled now.
  int in_flight() const;

  // Told the bytes written for each request that was handled.
  void OnAnswered(std::function<void(const HttpRequest&, std::size_t)> hook);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace comfreyfold

#endif  // NET_HTTP_SERVER_H_
