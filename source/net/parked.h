#ifndef NET_PARKED_H_
#define NET_PARKED_H_

// Only the sources of net/ include this header: Asio stays out of the rest.

#include <cxxabi.h>

#include "net/loop_impl.h"

namespace comfreyfold {

// Stands for a coroutine that waits: written as the completion token of a
// wait, it lives until the coroutine runs again.
class Parked {
 public:
  explicit Parked(Fiber& fiber) : yield_(fiber.impl().yield) {
    *Current() = {};
  }
  ~Parked() { *Current() = saved_; }
  Parked(const Parked&) = delete;
  Parked& operator=(const Parked&) = delete;

  boost::asio::yield_context operator[](boost::system::error_code& ec) const {
    return yield_[ec];
  }

 private:
  // The head of __cxa_eh_globals, as the Itanium C++ ABI lays it down.
  struct Exceptions {
    void* caught = nullptr;
    unsigned int uncaught = 0;
  };

  // The runtime keeps the exceptions being handled by thread. Coroutines
  // share one, so a handler that waits has to take its own along: handlers
  // that overlap would end each other's exceptions.
  static Exceptions* Current() {
    return reinterpret_cast<Exceptions*>(abi::__cxa_get_globals());
  }

  boost::asio::yield_context& yield_;
  Exceptions saved_ = *Current();
};

}  // namespace comfreyfold

#endif  // NET_PARKED_H_
