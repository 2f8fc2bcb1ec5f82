#ifndef NET_EXCHANGE_WATCHDOG_H_
#define NET_EXCHANGE_WATCHDOG_H_

#include <chrono>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace comfreyfold {

// Cancels the pending operation of an exchange when the `cancelled` hook, which
// is polled, returns true or when the deadline for more data has passed.
class ExchangeWatchdog {
 public:
  // `total_timeout` limits the whole exchange; 0: no limit.
  ExchangeWatchdog(boost::asio::io_context& io,
                   boost::beast::tcp_stream& stream,
                   const std::function<bool()>& cancelled,
                   std::chrono::milliseconds total_timeout);
  ~ExchangeWatchdog();
  ExchangeWatchdog(const ExchangeWatchdog&) = delete;
  ExchangeWatchdog& operator=(const ExchangeWatchdog&) = delete;

  // Moves the deadline for more data.
  void ExpireAfter(std::chrono::milliseconds time);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace comfreyfold

#endif  // NET_EXCHANGE_WATCHDOG_H_
