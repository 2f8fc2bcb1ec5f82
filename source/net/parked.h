#ifndef NET_PARKED_H_
#define NET_PARKED_H_

// Only the sources of net/ include this header: Asio stays out of the rest.

#include <cxxabi.h>

#include "net/loop_impl.h"

namespace comfreyfold {

// Sets aside the exceptions that are being handled, for as long as another
// coroutine may run. The runtime keeps them by thread and coroutines share
// one: handlers that overlap would end each other's exceptions.
class ExceptionsAside {
 public:
  ExceptionsAside() { *Current() = {}; }
  ~ExceptionsAside() { *Current() = saved_; }
  ExceptionsAside(const ExceptionsAside&) = delete;
  ExceptionsAside& operator=(const ExceptionsAside&) = delete;

 private:
  // The head of __cxa_eh_globals, as the Itanium C++ ABI lays it down.
  struct Exceptions {
    void* caught = nullptr;
    unsigned int uncaught = 0;
  };

  static Exceptions* Current() {
    return reinterpret_cast<Exceptions*>(abi::__cxa_get_globals());
  }

  Exceptions saved_ = *Current();
};

// Stands for a coroutine that waits: written as the completion token of a
// wait, it lives until the coroutine runs again.
class Parked {
 public:
  explicit Parked(Fiber& fiber) : yield_(fiber.impl().yield) {}

  boost::asio::yield_context operator[](boost::system::error_code& ec) const {
    return yield_[ec];
  }

 private:
  boost::asio::yield_context& yield_;
  ExceptionsAside aside_;
};

}  // namespace comfreyfold

#endif  // NET_PARKED_H_
