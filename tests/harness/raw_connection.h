#ifndef HARNESS_RAW_CONNECTION_H_
#define HARNESS_RAW_CONNECTION_H_

#include <chrono>
#include <string>
#include <string_view>

namespace comfreyfold::harness {

// A connection that sends bytes as a test wants them, well-formed or not.
// It blocks, so the other side must be another process.
class RawConnection {
 public:
  // Connects to "ip:port". Throws std::runtime_error.
  explicit RawConnection(const std::string& address);
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  // False when the other side has closed.
  bool Send(std::string_view bytes) const;
  // No more will be sent; what comes back is still read.
  void CloseSending() const;
  // Reads one whole reply, or what came before the close or the timeout.
  std::string ReadReply(
      std::chrono::milliseconds timeout = std::chrono::seconds(20));

 private:
  bool ReadMore(std::chrono::milliseconds timeout);

  int socket_ = -1;
  std::string buf_;
};

// The status of a reply's text; 0 when there is none.
int StatusOf(const std::string& reply);

}  // namespace comfreyfold::harness

#endif  // HARNESS_RAW_CONNECTION_H_
