#ifndef NET_YIELD_TOKEN_H_
#define NET_YIELD_TOKEN_H_

// Only the sources in net/ include this header, so that no other code depends
// on Asio.

#include <cxxabi.h>

#include "net/loop_impl.h"

namespace comfreyfold {

// Clears the record of the exceptions being handled and restores it when
// destroyed; other coroutines may run in between. The C++ runtime keeps this
// record per thread, and all coroutines share one thread: without the guard,
// exception handlers that overlap would end each other's exceptions.
class ExceptionStateGuard {
 public:
  ExceptionStateGuard() { *Globals() = {}; }
  ~ExceptionStateGuard() { *Globals() = saved_; }
  ExceptionStateGuard(const ExceptionStateGuard&) = delete;
  ExceptionStateGuard& operator=(const ExceptionStateGuard&) = delete;

 private:
  // The first members of __cxa_eh_globals as the Itanium C++ ABI defines them.
  struct ExceptionGlobals {
    void* caught = nullptr;
    unsigned int uncaught = 0;
  };

  static ExceptionGlobals* Globals() {
    return reinterpret_cast<ExceptionGlobals*>(abi::__cxa_get_globals());
  }

  ExceptionGlobals saved_ = *Globals();
};

// Completion token that suspends a coroutine until an asynchronous operation
// has finished. Written as a temporary in the call that starts the operation,
// it guards the coroutine's exceptions until the coroutine resumes.
class YieldToken {
 public:
  explicit YieldToken(Fiber& fiber) : yield_(fiber.impl().yield) {}

  boost::asio::yield_context operator[](boost::system::error_code& ec) const {
    return yield_[ec];
  }

 private:
  boost::asio::yield_context& yield_;
  ExceptionStateGuard exception_state_;
};

}  // namespace comfreyfold

#endif  // NET_YIELD_TOKEN_H_
