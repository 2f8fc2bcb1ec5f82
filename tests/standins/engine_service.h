#ifndef STANDINS_ENGINE_SERVICE_H_
#define STANDINS_ENGINE_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standins/faults.h"
#include "standins/service.h"

namespace comfreyfold::standins {

// What a turn costs on the stand-in engine.
struct EngineCosts {
  std::chrono::microseconds prefill_per_token{20};
  std::chrono::microseconds decode_per_token{2000};
  int slots = 8;  // Turns that run at the same time.
};

// A model engine: chat completions in the published form with a prefix
// cache by program, resumable streams, and an audit of what ran.
class EngineService : public Service {
 public:
  EngineService(Loop& loop, EngineCosts costs);
  void Handle(Fiber& fiber,
              const HttpRequest& request,
              HttpExchange& exchange) override;

 private:
  struct Stream {
    std::vector<std::string> events;
    bool done = false;
  };
  struct Run {
    std::string request_id;
    std::string program;
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;
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
  std::string Audit() const;
  std::string Load() const;

  Loop& loop_;
  EngineCosts costs_;
  Faults faults_;
  Condition changed_;
  std::map<std::string, std::shared_ptr<Stream>> streams_;
  std::map<std::string, std::string> cache_;  // Program to cached prompt.
  std::vector<Run> runs_;
  int running_ = 0;
  int waiting_ = 0;
  bool draining_ = false;
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_ENGINE_SERVICE_H_
