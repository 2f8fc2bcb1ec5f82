#ifndef STORAGE_JOB_THREAD_H_
#define STORAGE_JOB_THREAD_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace comfreyfold {

// Runs jobs one after the other in a thread of its own, in the order in which
// they were posted. The thread starts with the first job.
class JobThread {
 public:
  JobThread() = default;
  // Waits for the current job. Those after it do not run.
  ~JobThread();
  JobThread(const JobThread&) = delete;
  JobThread& operator=(const JobThread&) = delete;

  // Must be called by one thread only.
  void Post(std::function<void()> job);
  // Waits for the current job, and runs none after it.
  void Stop();

 private:
  void Run();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> jobs_;  // Guarded by `mutex_`.
  bool stopping_ = false;                   // Guarded by `mutex_`.
  std::thread thread_;
};

}  // namespace comfreyfold

#endif  // STORAGE_JOB_THREAD_H_
