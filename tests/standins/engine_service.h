#ifndef STANDINS_ENGINE_SERVICE_H_
#define STANDINS_ENGINE_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standins/engine_cache.h"
#include "standins/faults.h"
#include "standins/lagging_value.h"
#include "standins/order_desk.h"
#include "standins/service.h"
#include "standins/slot_queue.h"

namespace comfreyfold::standins {

// What a turn costs on the stand-in engine, and how it is deployed.
struct EngineOptions {
  std::chrono::microseconds prefill_per_token{20};
  std::chrono::microseconds decode_per_token{2000};
  std::chrono::microseconds import_per_token{10};
  int slots = 8;  // Turns that run at the same time.
  std::chrono::milliseconds load_lag{};
  bool checks_fencing = true;
  CacheOptions cache;
};

// A model engine: chat completions in the published form with a prefix
// cache by program, streams that can be resumed and cancelled, orders with
// fencing numbers, and an audit of what ran in order of arrival.
class EngineService : public Service {
 public:
  EngineService(Loop& loop, EngineOptions options);
  void Handle(Fiber& fiber,
              const HttpRequest& request,
              HttpExchange& exchange) override;

 private:
  struct Stream {
    std::vector<std::string> events;
    bool done = false;
    bool cancelled = false;
  };
  struct Run {
    std::string request_id;
    std::string program;
    std::int64_t prompt_tokens = 0;
    std::int64_t completion_tokens = 0;  // As asked for.
    std::int64_t cached_tokens = 0;
    std::int64_t time_us = 0;
    bool cancelled = false;
  };

  void Complete(Fiber& fiber,
                const HttpRequest& request,
                HttpExchange& exchange);
  void Generate(Fiber& fiber,
                const HttpRequest& request,
                const std::shared_ptr<Stream>& stream);
  void Follow(Fiber& fiber,
              const std::shared_ptr<Stream>& stream,
              std::size_t from,
              HttpExchange& exchange);
  void Prefill(Fiber& fiber, const std::string& prompt, std::size_t cached);
  void Decode(Fiber& fiber,
              const HttpRequest& request,
              const std::string& prompt,
              std::size_t cached,
              Stream& stream);
  void HandleStream(Fiber& fiber,
                    const HttpRequest& request,
                    HttpExchange& exchange);
  bool HandleCache(Fiber& fiber,
                   const HttpRequest& request,
                   HttpExchange& exchange);
  std::int64_t Import(Fiber& fiber,
                      const std::string& program,
                      const std::string& copy);
  std::string Audit() const;
  std::string Load() const;

  Loop& loop_;
  EngineOptions options_;
  Faults faults_;
  SlotQueue slots_;
  EngineCache cache_;
  OrderDesk orders_;
  LaggingValue load_;
  Condition changed_;
  std::map<std::string, std::shared_ptr<Stream>> streams_;
  std::vector<Run> runs_;
  std::vector<std::int64_t> refused_us_;  // Times of work refused.
  bool draining_ = false;
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_ENGINE_SERVICE_H_
