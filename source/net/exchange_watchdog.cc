#include "net/exchange_watchdog.h"

#include <algorithm>

#include <boost/asio/steady_timer.hpp>

namespace comfreyfold {

namespace {
constexpr std::chrono::milliseconds kCancelPollInterval{50};
using Clock = std::chrono::steady_clock;
}  // namespace

struct ExchangeWatchdog::State : std::enable_shared_from_this<State> {
  State(boost::asio::io_context& io,
        boost::beast::tcp_stream& watched_stream,
        const std::function<bool()>& cancel_hook)
      : timer(io), stream(watched_stream), cancelled(cancel_hook) {}

  void Arm() {
    armed = true;
    const auto wake_at = std::min(deadline, exchange_deadline);
    timer.expires_at(cancelled
                         ? std::min(wake_at, Clock::now() + kCancelPollInterval)
                         : wake_at);
    timer.async_wait([self = shared_from_this()](boost::system::error_code) {
      self->armed = false;
      if (self->finished) {
        return;
      }
      const auto now = Clock::now();
      if (now >= self->deadline || now >= self->exchange_deadline ||
          (self->cancelled && self->cancelled())) {
        self->stream.cancel();
      } else {
        self->Arm();
      }
    });
  }

  boost::asio::steady_timer timer;
  boost::beast::tcp_stream& stream;
  const std::function<bool()>& cancelled;
  Clock::time_point deadline = Clock::time_point::max();
  Clock::time_point exchange_deadline = Clock::time_point::max();
  bool armed = false;
  bool finished = false;
};

ExchangeWatchdog::ExchangeWatchdog(boost::asio::io_context& io,
                                   boost::beast::tcp_stream& stream,
                                   const std::function<bool()>& cancelled,
                                   std::chrono::milliseconds total_timeout)
    : state_(std::make_shared<State>(io, stream, cancelled)) {
  if (total_timeout.count() > 0) {
    state_->exchange_deadline = Clock::now() + total_timeout;
  }
  if (cancelled || total_timeout.count() > 0) {
    state_->Arm();
  }
}

// The timer's handler may still run after the exchange has been destroyed.
ExchangeWatchdog::~ExchangeWatchdog() {
  state_->finished = true;
  state_->timer.cancel();
}

// A running timer is not restarted but checks the deadline when it fires: a
// restart for each token would cost as much as its read.
void ExchangeWatchdog::ExpireAfter(std::chrono::milliseconds time) {
  state_->deadline = Clock::now() + time;
  if (!state_->armed) {
    state_->Arm();
  }
}

}  // namespace comfreyfold
