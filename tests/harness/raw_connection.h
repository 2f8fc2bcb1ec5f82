#ifndef HARNESS_RAW_CONNECTION_H_
#define HARNESS_RAW_CONNECTION_H_

#include <chrono>
#include <string>
#include <string_view>

namespace comfreyfold::harness {

// A TCP connection for sending arbitrary bytes, including malformed HTTP.
// Its calls block, so the peer must run in another process.
class RawConnection {
 public:
  // Connects to "ip:port". Throws std::runtime_error on failure.
  explicit RawConnection(const std::string& address);
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  // Returns false if the peer has closed the connection.
  bool Send(std::string_view bytes) const;
  // Shuts down the sending direction; replies can still be read.
  void CloseSending() const;
  // Reads one complete HTTP reply; returns what was received if the peer closes
  // the connection or nothing arrives for `timeout`.
  std::string ReadReply(
      std::chrono::milliseconds timeout = std::chrono::seconds(20));

 private:
  bool ReadMore(std::chrono::milliseconds timeout);

  int socket_ = -1;
  std::string buf_;
};

// Returns the HTTP status code of a raw reply; 0 if it has none.
int StatusOf(const std::string& reply);

}  // namespace comfreyfold::harness

#endif  // HARNESS_RAW_CONNECTION_H_
