#ifndef NET_LOOP_H_
#define NET_LOOP_H_

#include <chrono>
#include <functional>
#include <memory>

namespace comfreyfold {

class Fiber;

// One thread's event loop (Boost.Asio). All of a daemon's state belongs to
// the thread that runs it, so nothing in the daemon needs a lock.
class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  void Run();
  void Stop();

  // Starts `body` as a stackful coroutine. An exception that leaves `body`
  // goes to the error hook.
  void Spawn(std::function<void(Fiber&)> body);

  // Runs `hook` on SIGTERM or SIGINT.
  void OnTermination(std::function<void()> hook);

  // Runs `hook` on each SIGHUP.
  void OnReload(const std::function<void()>& hook);

  // Runs `task` on the loop's thread; the only call that other threads make.
  void Post(std::function<void()> task);

  // Receives the text of an exception that left a coroutine.
  void OnError(std::function<void(const char*)> hook);

  struct Impl;
  Impl& impl() { return *impl_; }

 private:
  std::unique_ptr<Impl> impl_;
};

// The running coroutine: what a function needs that waits.
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

// A condition that coroutines of one loop wait on.
class Condition {
 public:
  explicit Condition(Loop& loop);
  ~Condition();

  // Waits for NotifyAll; false when `timeout` passed first.
  bool Wait(Fiber& fiber, std::chrono::milliseconds timeout);
  void NotifyAll();

  // Waits until `ready` holds; false when `timeout` passed first.
  bool WaitUntil(Fiber& fiber,
                 std::chrono::milliseconds timeout,
                 const std::function<bool()>& ready);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace comfreyfold

#endif  // NET_LOOP_H_
