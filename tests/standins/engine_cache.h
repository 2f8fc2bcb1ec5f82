#ifndef STANDINS_ENGINE_CACHE_H_
#define STANDINS_ENGINE_CACHE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace comfreyfold::standins {

// Settings of a simulated engine's prefix cache.
struct CacheOptions {
  std::int64_t memory_tokens = 0;  // 0: unlimited.
  std::chrono::milliseconds event_delay{};
  int event_gap = 0;  // Every n-th event is lost; 0: none is lost.
};

// The prefix cache of one engine. It holds one prompt per program in bounded
// memory and evicts the least recently used program first. Options can delay
// its events or drop some of them.
class EngineCache {
 public:
  explicit EngineCache(CacheOptions options) : options_(options) {}

  // Returns the number of tokens that a text of `bytes` counts for.
  static std::int64_t TokensOfBytes(std::size_t bytes);

  // Marks a turn of `program` as running until the matching EndTurn; the
  // prompt of a program with a running turn is not evicted.
  void BeginTurn(const std::string& program) { ++running_turns_[program]; }
  void EndTurn(const std::string& program);
  // Replaces the prompt held for `program`. Returns the number of leading bytes
  // of `prompt` that were already held.
  std::size_t Store(const std::string& program, const std::string& prompt);
  // Appends generated text to the prompt held for `program`.
  void Append(const std::string& program, const std::string& piece);
  void Release(const std::string& program);
  // Returns the prompt held for `program`; empty if none is.
  std::string Export(const std::string& program) const;
  // Stores a prompt exported by another engine, unless the prompt held already
  // starts with it. Returns the number of bytes that were not held before.
  std::size_t Import(const std::string& program, const std::string& prompt);

  std::int64_t memory_tokens() const { return options_.memory_tokens; }
  std::int64_t held_tokens() const;
  // Returns the tokens held, by program.
  nlohmann::json Held() const;
  // Returns the events numbered above `since` whose delay has passed.
  nlohmann::json Events(std::int64_t since) const;

 private:
  struct Entry {
    std::string prompt;
    std::int64_t last_use = 0;  // Value of use_count_ at the last use.
  };
  struct Event {
    std::int64_t number = 0;
    const char* kind = "";
    std::string program;
    std::int64_t tokens = 0;
    std::chrono::steady_clock::time_point publish_at;
  };

  void MarkUsed(Entry& entry) { entry.last_use = ++use_count_; }
  // Evicts entries until the memory bound holds, but neither `keep` nor
  // programs with running turns.
  void Evict(const std::string& keep);
  void Publish(const char* kind, const std::string& program);

  CacheOptions options_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, int> running_turns_;  // By program.
  std::vector<Event> events_;
  std::int64_t next_event_ = 1;
  std::int64_t use_count_ = 0;
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_ENGINE_CACHE_H_
