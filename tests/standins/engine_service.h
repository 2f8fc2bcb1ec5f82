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
#include "standins/order_handler.h"
#include "standins/service.h"
#include "standins/slot_queue.h"

namespace comfreyfold::standins {

// Simulated costs of a turn and settings of the stand-in engine.
struct EngineOptions {
  std::chrono::microseconds prefill_per_token{20};
  std::chrono::microseconds decode_per_token{2000};
  std::chrono::microseconds import_per_token{10};
  int slots = 8;                         // Turns that can run at the same time.
  std::chrono::milliseconds load_lag{};  // Age of the load that is reported.
  bool checks_fencing = true;
  CacheOptions cache;
};

// Stand-in for a model engine. It serves streamed chat completions in the
// OpenAI format with a prefix cache per program, streams that can be resumed
// and cancelled, and placement orders with fencing numbers. GET /audit reports
// its runs in order of arrival.
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
    std::int64_t completion_tokens = 0;  // As requested.
    std::int64_t cached_tokens = 0;
    std::int64_t arrival_us = 0;
    bool cancelled = false;
  };

  void Complete(Fiber& fiber,
                const HttpRequest& request,
                HttpExchange& exchange);
  // Runs a turn and appends its events to `stream`.
  void Generate(Fiber& fiber,
                const HttpRequest& request,
                const std::shared_ptr<Stream>& stream);
  // Sends the events of `stream` from index `from` until the stream ends or the
  // client disconnects.
  void SendEvents(Fiber& fiber,
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
  // Imports an exported prompt; returns the tokens that were not held before.
  std::int64_t Import(Fiber& fiber,
                      const std::string& program,
                      const std::string& exported);
  std::string Audit() const;
  std::string Load() const;

  Loop& loop_;
  EngineOptions options_;
  Faults faults_;
  SlotQueue slots_;
  EngineCache cache_;
  OrderHandler orders_;
  LaggingValue load_;
  Condition stream_changed_;
  std::map<std::string, std::shared_ptr<Stream>> streams_;
  std::vector<Run> runs_;
  std::vector<std::int64_t> refusal_times_us_;
  bool draining_ = false;
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_ENGINE_SERVICE_H_
