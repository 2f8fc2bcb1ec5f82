#ifndef NET_READ_DEADLINE_H_
#define NET_READ_DEADLINE_H_

// Only the sources in net/ include this header, so that no other code depends
// on Asio.

#include <chrono>
#include <memory>

#include <boost/asio/steady_timer.hpp>

#include "net/server_exchange.h"

namespace comfreyfold {

// Cancels the reading of a request that arrives too slowly. The stream's own
// timeout would close the socket, so the request could not be answered.
class ReadDeadline {
 public:
  ReadDeadline(const std::shared_ptr<Session>& session,
               std::chrono::milliseconds time)
      : timer_(session->stream.get_executor(), time),
        expired_(std::make_shared<bool>(false)) {
    timer_.async_wait(
        [session, expired = expired_](boost::system::error_code ec) {
          if (!ec) {
            *expired = true;
            session->stream.cancel();
          }
        });
  }
  bool expired() const { return *expired_; }

 private:
  boost::asio::steady_timer timer_;
  std::shared_ptr<bool> expired_;
};

}  // namespace comfreyfold

#endif  // NET_READ_DEADLINE_H_
