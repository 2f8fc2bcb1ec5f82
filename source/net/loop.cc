#include "net/loop.h"

#include <csignal>
#include <exception>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>

#include "net/loop_impl.h"
#include "net/repeat.h"
#include "net/yield_token.h"

namespace comfreyfold {

namespace {
// Handlers parse nested JSON documents and run Thrift code on this stack.
constexpr std::size_t kCoroutineStackBytes = 256 * 1024;
}  // namespace

Loop::Loop() : impl_(std::make_unique<Impl>()) {}
Loop::~Loop() = default;

void Loop::Run() {
  impl_->io.run();
}

void Loop::Stop() {
  impl_->io.stop();
}

void Loop::Spawn(std::function<void(Fiber&)> body) {
  // The coroutine may start before spawn returns, even while the caller handles
  // an exception.
  const ExceptionStateGuard exception_state;
  boost::asio::spawn(
      impl_->io,
      [this, body = std::move(body)](boost::asio::yield_context yield) {
        Fiber::Impl impl(std::move(yield));
        Fiber fiber(*this, impl);
        // Only std::exception is caught: Boost.Coroutine unwinds a coroutine
        // with an exception type of its own, which must not be caught here.
        try {
          body(fiber);
        } catch (const std::exception& e) {
          if (impl_->on_error) {
            impl_->on_error(e.what());
          }
        }
      },
      boost::coroutines::attributes(kCoroutineStackBytes));
}

void Loop::OnTermination(std::function<void()> hook) {
  impl_->signals.add(SIGTERM);
  impl_->signals.add(SIGINT);
  impl_->signals.async_wait(
      [hook = std::move(hook)](boost::system::error_code ec, int) {
        if (!ec) {
          hook();
        }
      });
}

namespace {

sigset_t ReloadSignals() {
  sigset_t out;
  sigemptyset(&out);
  sigaddset(&out, SIGHUP);
  return out;
}

// An exception that leaves a handler leaves Run() as well.
void WaitForReload(Loop& loop, const std::function<void()>& hook) {
  loop.impl().reload_signals.async_wait(
      [&loop, hook](boost::system::error_code ec, int) {
        if (!ec) {
          WaitForReload(loop, hook);
          RunReporting(loop, "the reload", hook);
        }
      });
}

}  // namespace

// A SIGHUP without a handler ends the process.
void Loop::HoldReloads() {
  const auto signals = ReloadSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void Loop::OnReload(const std::function<void()>& hook) {
  impl_->reload_signals.add(SIGHUP);
  WaitForReload(*this, hook);
  const auto signals = ReloadSignals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

void Loop::Post(std::function<void()> task) {
  boost::asio::post(impl_->io, std::move(task));
}

void Loop::OnError(std::function<void(const char*)> hook) {
  impl_->on_error = std::move(hook);
}

void Fiber::Sleep(std::chrono::milliseconds delay) {
  boost::asio::steady_timer timer(loop_.impl().io, delay);
  boost::system::error_code ec;
  timer.async_wait(YieldToken(*this)[ec]);
}

struct Condition::Impl {
  explicit Impl(boost::asio::io_context& context) : io(context) {}
  boost::asio::io_context& io;
  std::vector<boost::asio::steady_timer*> waiters;
};

Condition::Condition(Loop& loop)
    : impl_(std::make_shared<Impl>(loop.impl().io)) {}
Condition::~Condition() {
  NotifyAll();
}

bool Condition::Wait(Fiber& fiber, std::chrono::milliseconds timeout) {
  // This copy keeps the shared state alive: the notifier may destroy the
  // condition before the waiting coroutine resumes.
  auto impl = impl_;
  boost::asio::steady_timer timer(impl->io, timeout);
  impl->waiters.push_back(&timer);
  boost::system::error_code ec;
  timer.async_wait(YieldToken(fiber)[ec]);
  std::erase(impl->waiters, &timer);
  return ec == boost::asio::error::operation_aborted;
}

void Condition::NotifyAll() {
  for (auto* it : impl_->waiters) {
    it->cancel();
  }
}

bool Condition::WaitUntil(Fiber& fiber,
                          std::chrono::milliseconds timeout,
                          const std::function<bool()>& ready) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!ready()) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - std::chrono::steady_clock::now());
    if (remaining <= std::chrono::milliseconds::zero()) {
      return false;
    }
    Wait(fiber, remaining);
  }
  return true;
}

}  // namespace comfreyfold
