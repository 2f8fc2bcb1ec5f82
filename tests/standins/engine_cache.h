#ifndef STANDINS_ENGINE_CACHE_H_
#define STANDINS_ENGINE_CACHE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace comfreyfold::standins {

// How an engine's prefix cache behaves.
struct CacheOptions {
  std::int64_t memory_tokens = 0;  // 0: without bound.
  std::chrono::milliseconds event_delay{};
  int event_gap = 0;  // Every n-th event is never published; 0: none.
};

// The prefix cache of one engine, by program, in bounded memory with the
// least recently used program evicted first. Publishes its events late and
// with gaps when told to.
class EngineCache {
 public:
  explicit EngineCache(CacheOptions options) : options_(options) {}

  static std::int64_t Tokens(std::size_t bytes);

  // A turn of `program` runs until its `End`: what it uses is not evicted.
  void Begin(const std::string& program) { ++running_[program]; }
  void End(const std::string& program);
  // Bytes of `prompt` found for `program`; holds the prompt from here on.
  std::size_t Store(const std::string& program, const std::string& prompt);
  // A generated piece.
  void Extend(const std::string& program, const std::string& piece);
  void Release(const std::string& program);
  // What is held for `program`; empty when nothing is.
  std::string Export(const std::string& program) const;
  // Takes a copy over; one that is held already stays. Returns the bytes
  // that were lacking.
  std::size_t Import(const std::string& program, const std::string& prompt);

  std::int64_t memory_tokens() const { return options_.memory_tokens; }
  std::int64_t held_tokens() const;
  nlohmann::json Held() const;
  // Events after number `since` that are due by now.
  nlohmann::json Events(std::int64_t since) const;

 private:
  struct Item {
    std::string prompt;
    std::int64_t used = 0;
  };
  struct Event {
    std::int64_t number = 0;
    const char* kind = "";
    std::string program;
    std::int64_t tokens = 0;
    std::chrono::steady_clock::time_point due;
  };

  void Touch(Item& item) { item.used = ++uses_; }
  void Evict(const std::string& keep);
  void Publish(const char* kind, const std::string& program);

  CacheOptions options_;
  std::map<std::string, Item> items_;
  std::map<std::string, int> running_;  // Turns by program.
  std::vector<Event> events_;
  std::int64_t next_event_ = 1;
  std::int64_t uses_ = 0;
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_ENGINE_CACHE_H_
