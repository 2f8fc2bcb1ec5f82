#include "standins/engine_cache.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace comfreyfold::standins {

namespace {
constexpr std::size_t kBytesPerToken = 4;
}  // namespace

std::int64_t EngineCache::TokensOfBytes(std::size_t bytes) {
  return static_cast<std::int64_t>(bytes / kBytesPerToken);
}

std::size_t EngineCache::Store(const std::string& program,
                               const std::string& prompt) {
  auto& entry = entries_[program];
  const auto n = std::min(entry.prompt.size(), prompt.size());
  const auto matching_bytes =
      std::mismatch(entry.prompt.begin(),
                    entry.prompt.begin() + static_cast<std::ptrdiff_t>(n),
                    prompt.begin())
          .first -
      entry.prompt.begin();
  entry.prompt = prompt;
  MarkUsed(entry);
  Evict(program);
  Publish("stored", program);
  return static_cast<std::size_t>(matching_bytes);
}

void EngineCache::Append(const std::string& program, const std::string& piece) {
  auto& entry = entries_[program];
  entry.prompt += piece;
  MarkUsed(entry);
  Evict(program);
}

void EngineCache::Release(const std::string& program) {
  if (entries_.erase(program) > 0) {
    Publish("released", program);
  }
}

std::string EngineCache::Export(const std::string& program) const {
  const auto it = entries_.find(program);
  return it == entries_.end() ? std::string() : it->second.prompt;
}

std::size_t EngineCache::Import(const std::string& program,
                                const std::string& prompt) {
  const auto held = entries_.find(program);
  if (held != entries_.end() && held->second.prompt.starts_with(prompt)) {
    MarkUsed(held->second);
    return 0;
  }
  return prompt.size() - Store(program, prompt);
}

void EngineCache::EndTurn(const std::string& program) {
  const auto it = running_turns_.find(program);
  if (it != running_turns_.end() && --it->second == 0) {
    running_turns_.erase(it);
  }
  Evict(program);
}

std::int64_t EngineCache::held_tokens() const {
  std::int64_t out = 0;
  for (const auto& [program, entry] : entries_) {
    out += TokensOfBytes(entry.prompt.size());
  }
  return out;
}

void EngineCache::Evict(const std::string& keep) {
  while (options_.memory_tokens > 0 && entries_.size() > 1 &&
         held_tokens() > options_.memory_tokens) {
    auto oldest = entries_.end();
    for (auto it = entries_.begin(); it != entries_.end(); ++it) {
      if (it->first != keep && !running_turns_.contains(it->first) &&
          (oldest == entries_.end() ||
           it->second.last_use < oldest->second.last_use)) {
        oldest = it;
      }
    }
    if (oldest == entries_.end()) {
      return;  // Only `keep` and programs with running turns remain.
    }
    const auto program = oldest->first;
    entries_.erase(oldest);
    Publish("evicted", program);
  }
}

void EngineCache::Publish(const char* kind, const std::string& program) {
  const auto number = next_event_++;
  if (options_.event_gap > 0 && number % options_.event_gap == 0) {
    return;
  }
  events_.push_back({number, kind, program,
                     TokensOfBytes(Export(program).size()),
                     std::chrono::steady_clock::now() + options_.event_delay});
}

nlohmann::json EngineCache::Held() const {
  auto out = nlohmann::json::object();
  for (const auto& [program, entry] : entries_) {
    out[program] = TokensOfBytes(entry.prompt.size());
  }
  return out;
}

nlohmann::json EngineCache::Events(std::int64_t since) const {
  const auto now = std::chrono::steady_clock::now();
  auto out = nlohmann::json::array();
  for (const auto& it : events_) {
    if (it.number > since && it.publish_at <= now) {
      out.push_back({{"number", it.number},
                     {"kind", it.kind},
                     {"program", it.program},
                     {"tokens", it.tokens}});
    }
  }
  return out;
}

}  // namespace comfreyfold::standins
