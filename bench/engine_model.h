#ifndef BENCH_ENGINE_MODEL_H_
#define BENCH_ENGINE_MODEL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>

#include "event_loop.h"
#include "workload.h"

namespace comfreyfold::bench {

// One model turn on an engine.
struct EngineTurn {
  std::string program;
  std::int64_t prompt_tokens = 0;
  std::int64_t answer_tokens = 0;
  std::int64_t exported_tokens = 0;
  struct Result {
    bool failed = false;
    std::int64_t cached = 0;
    std::int64_t imported = 0;
    std::int64_t kept = 0;  // In memory after the turn.
    std::chrono::nanoseconds service{};
  };
  std::function<void(const Result&)> done;
};

// The cost model of the stand-in engine: slots, a queue in order of
// arrival, and a memory of which the least recently used part is evicted.
class EngineModel {
 public:
  EngineModel(EventLoop& loop, EngineCosts costs)
      : loop_(loop), costs_(costs) {}

  void Submit(EngineTurn turn);
  void Pin(const std::string& program);
  void Release(const std::string& program);
  // Every turn fails, also those that run; the memory is lost.
  void Fail();

  int running() const { return running_; }
  int waiting() const { return static_cast<int>(queue_.size()); }
  std::chrono::nanoseconds busy() const { return busy_; }

 private:
  struct Entry {
    std::int64_t tokens = 0;
    bool pinned = false;
    int running = 0;
    std::uint64_t used = 0;
  };
  void StartNext();
  void Finish(const EngineTurn& turn, EngineTurn::Result result, int life);
  void MakeRoom();

  EventLoop& loop_;
  EngineCosts costs_;
  std::deque<EngineTurn> queue_;
  std::map<std::string, Entry> memory_;
  std::int64_t used_tokens_ = 0;
  std::uint64_t clock_ = 0;
  int running_ = 0;
  int life_ = 0;
  bool failed_ = false;
  std::chrono::nanoseconds busy_{};
};

// An action server: slots and a queue in order of arrival.
class ServiceModel {
 public:
  ServiceModel(EventLoop& loop, int slots) : loop_(loop), slots_(slots) {}

  void Submit(std::chrono::nanoseconds service,
              std::function<void()> started,
              std::function<void()> done);

  int running() const { return running_; }
  int waiting() const { return static_cast<int>(queue_.size()); }

 private:
  struct Job {
    std::chrono::nanoseconds service{};
    std::function<void()> started;
    std::function<void()> done;
  };
  void StartNext();

  EventLoop& loop_;
  int slots_;
  int running_ = 0;
  std::deque<Job> queue_;
};

}  // namespace comfreyfold::bench

#endif  // BENCH_ENGINE_MODEL_H_
