#ifndef NET_LOOP_H_
#define NET_LOOP_H_

#include <chrono>
#include <functional>
#include <memory>

namespace comfreyfold {

class Fiber;

// Single-threaded event loop (Boost.Asio). All of a daemon's state is accessed
// only on the thread that runs the loop, so the daemon needs no locks.
class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  void Run();
  void Stop();

  // Starts `body` as a stackful coroutine. A std::exception that leaves `body`
  // is passed to the error hook.
  void Spawn(std::function<void(Fiber&)> body);

  // Runs `hook` on the first SIGTERM or SIGINT.
  void OnTermination(std::function<void()> hook);

  // Keeps a SIGHUP that arrives before OnReload until then.
  static void HoldReloads();

  // Runs `hook` on each SIGHUP.
  void OnReload(const std::function<void()>& hook);

  // Runs `task` on the loop's thread. This is the only member function that
  // other threads may call.
  void Post(std::function<void()> task);

  // Sets the hook that receives the message of an exception that left a
  // coroutine or an HTTP request handler.
  void OnError(std::function<void(const char*)> hook);

  struct Impl;
  Impl& impl() { return *impl_; }

 private:
  std::unique_ptr<Impl> impl_;
};

// The running coroutine. A function that suspends it takes it as a parameter.
class Fiber {
 public:
  struct Impl;
  Fiber(Loop& loop, Impl& impl) : loop_(loop), impl_(impl) {}

  void Sleep(std::chrono::milliseconds delay);
  Loop& loop() { return loop_; }
  Impl& impl() { return impl_; }

 private:
  Loop& loop_;
  Impl& impl_;
};

// A condition variable for the coroutines of one loop. The destructor wakes all
// waiting coroutines.
class Condition {
 public:
  explicit Condition(Loop& loop);
  ~Condition();

  // Waits for NotifyAll. Returns false if `timeout` passes first.
  bool Wait(Fiber& fiber, std::chrono::milliseconds timeout);
  void NotifyAll();

  // Waits until `ready` returns true. Returns false if `timeout` passes first.
  bool WaitUntil(Fiber& fiber,
                 std::chrono::milliseconds timeout,
                 const std::function<bool()>& ready);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace comfreyfold

#endif  // NET_LOOP_H_
