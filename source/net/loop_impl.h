#ifndef NET_LOOP_IMPL_H_
#define NET_LOOP_IMPL_H_

// Only the sources in net/ include this header, so that no other code depends
// on Asio.

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include "net/loop.h"

namespace comfreyfold {

struct Loop::Impl {
  boost::asio::io_context io{1};
  boost::asio::signal_set signals{io};
  boost::asio::signal_set reload_signals{io};
  std::function<void(const char*)> on_error;
};

struct Fiber::Impl {
  explicit Impl(boost::asio::yield_context context)
      : yield(std::move(context)) {}
  boost::asio::yield_context yield;
};

}  // namespace comfreyfold

#endif  // NET_LOOP_IMPL_H_
