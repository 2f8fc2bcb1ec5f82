#include "standins/engine_cache.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace comfreyfold::standins {

namespace {
constexpr std::size_t kBytesPerToken = 4;
}  // namespace

std::int64_t EngineCache::Tokens(std::size_t bytes) {
  return static_cast<std::int64_t>(bytes / kBytesPerToken);
}

std::size_t EngineCache::Store(const std::string& program,
                               const std::string& prompt) {
  auto& item = items_[program];
  const auto n = std::min(item.prompt.size(), prompt.size());
  const auto same =
      std::mismatch(item.prompt.begin(),
                    item.prompt.begin() + static_cast<std::ptrdiff_t>(n),
                    prompt.begin())
          .first -
      item.prompt.begin();
  item.prompt = prompt;
  Touch(item);
  Evict(program);
  Publish("stored", program);
  return static_cast<std::size_t>(same);
}

void EngineCache::Extend(const std::string& program, const std::string& piece) {
  auto& item = items_[program];
  item.prompt += piece;
  Touch(item);
  Evict(program);
}

void EngineCache::Release(const std::string& program) {
  if (items_.erase(program) > 0) {
    Publish("released", program);
  }
}

std::string EngineCache::Export(const std::string& program) const {
  const auto it = items_.find(program);
  return it == items_.end() ? std::string() : it->second.prompt;
}

std::size_t EngineCache::Import(const std::string& program,
                                const std::string& prompt) {
  const auto held = items_.find(program);
  if (held != items_.end() && held->second.prompt.starts_with(prompt)) {
    Touch(held->second);
    return 0;
  }
  return prompt.size() - Store(program, prompt);
}

void EngineCache::End(const std::string& program) {
  const auto it = running_.find(program);
  if (it != running_.end() && --it->second == 0) {
    running_.erase(it);
  }
  Evict(program);
}

std::int64_t EngineCache::held_tokens() const {
  std::int64_t out = 0;
  for (const auto& [program, item] : items_) {
    out += Tokens(item.prompt.size());
  }
  return out;
}

void EngineCache::Evict(const std::string& keep) {
  while (options_.memory_tokens > 0 && items_.size() > 1 &&
         held_tokens() > options_.memory_tokens) {
    auto oldest = items_.end();
    for (auto it = items_.begin(); it != items_.end(); ++it) {
      if (it->first != keep && !running_.contains(it->first) &&
          (oldest == items_.end() || it->second.used < oldest->second.used)) {
        oldest = it;
      }
    }
    if (oldest == items_.end()) {
      return;  // Turns that run need more than there is.
    }
    const auto program = oldest->first;
    items_.erase(oldest);
    Publish("evicted", program);
  }
}

void EngineCache::Publish(const char* kind, const std::string& program) {
  const auto number = next_event_++;
  if (options_.event_gap > 0 && number % options_.event_gap == 0) {
    return;
  }
  events_.push_back({number, kind, program, Tokens(Export(program).size()),
                     std::chrono::steady_clock::now() + options_.event_delay});
}

nlohmann::json EngineCache::Held() const {
  auto out = nlohmann::json::object();
  for (const auto& [program, item] : items_) {
    out[program] = Tokens(item.prompt.size());
  }
  return out;
}

nlohmann::json EngineCache::Events(std::int64_t since) const {
  const auto now = std::chrono::steady_clock::now();
  auto out = nlohmann::json::array();
  for (const auto& it : events_) {
    if (it.number > since && it.due <= now) {
      out.push_back({{"number", it.number},
                     {"kind", it.kind},
                     {"program", it.program},
                     {"tokens", it.tokens}});
    }
  }
  return out;
}

}  // namespace comfreyfold::standins
