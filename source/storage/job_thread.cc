#include "storage/job_thread.h"

#include <utility>

namespace comfreyfold {

JobThread::~JobThread() {
  Stop();
}

void JobThread::Post(std::function<void()> job) {
  {
    const std::lock_guard lock(mutex_);
    jobs_.push_back(std::move(job));
  }
  if (!thread_.joinable()) {
    thread_ = std::thread([this] { Run(); });
  }
  changed_.notify_one();
}

void JobThread::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void JobThread::Run() {
  for (;;) {
    std::function<void()> job;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
      if (stopping_) {
        return;
      }
      job = std::move(jobs_.front());
      jobs_.pop_front();
    }
    job();
  }
}

}  // namespace comfreyfold
