#include "core/server_limit_table.h"

#include <tuple>

#include "core/hash.h"

namespace comfreyfold {

namespace {

// A server without requests for this long may have ended. If it has not, its
// next answer names its limit again.
constexpr std::chrono::minutes kLifetime{10};
// An ended limit is remembered until all daemons have heard of its end.
constexpr std::chrono::seconds kUnlimitedLifetime{60};

std::chrono::milliseconds LifetimeOf(const std::optional<double>& per_second) {
  return per_second ? std::chrono::milliseconds(kLifetime)
                    : std::chrono::milliseconds(kUnlimitedLifetime);
}

}  // namespace

bool ServerLimitTable::Record(const ServerLimit& limit, TimePoint now) {
  const auto named_at = now - limit.age;
  if (limit.age > LifetimeOf(limit.per_second)) {
    return false;
  }
  const auto [it, inserted] = entries_.try_emplace(limit.server_id);
  auto& entry = it->second;
  if (!inserted && std::tie(limit.started, named_at) <=
                       std::tie(entry.started, entry.named_at)) {
    return false;
  }
  const auto before = inserted || entry.started != limit.started
                          ? std::nullopt
                          : entry.per_second;
  const bool changed = before != limit.per_second;
  const bool hash_changed = changed || entry.started != limit.started;
  entry = {limit.started, limit.per_second, named_at};
  if (Expire(now) || hash_changed) {
    UpdateHash();
  }
  changes_ += changed ? 1 : 0;
  return changed;
}

bool ServerLimitTable::RecordUnlimited(const std::string& server_id,
                                       std::chrono::milliseconds started,
                                       TimePoint sent_at,
                                       TimePoint now) {
  const auto it = entries_.find(server_id);
  if (it == entries_.end() || !it->second.per_second ||
      it->second.started != started || sent_at < it->second.named_at) {
    return false;
  }
  return Record({server_id, started, std::nullopt, {}}, now);
}

std::optional<double> ServerLimitTable::Find(
    const std::string& server_id,
    std::chrono::milliseconds started) const {
  const auto it = entries_.find(server_id);
  return it != entries_.end() && it->second.started == started
             ? it->second.per_second
             : std::nullopt;
}

std::optional<double> ServerLimitTable::Find(
    const std::string& server_id) const {
  const auto it = entries_.find(server_id);
  return it != entries_.end() ? it->second.per_second : std::nullopt;
}

std::vector<ServerLimit> ServerLimitTable::All(TimePoint now) const {
  std::vector<ServerLimit> out;
  out.reserve(entries_.size());
  for (const auto& [id, it] : entries_) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - it.named_at);
    if (age <= LifetimeOf(it.per_second)) {
      out.push_back({id, it.started, it.per_second, age});
    }
  }
  return out;
}

std::string LimitText(const std::optional<double>& per_second) {
  return per_second ? std::to_string(*per_second) : "";
}

void ServerLimitTable::DropOld(TimePoint now) {
  if (Expire(now)) {
    UpdateHash();
  }
}

bool ServerLimitTable::Expire(TimePoint now) {
  const auto erased = std::erase_if(entries_, [now](const auto& it) {
    return now - it.second.named_at > LifetimeOf(it.second.per_second);
  });
  return erased > 0;
}

void ServerLimitTable::UpdateHash() {
  hash_ = 0;
  limited_ = 0;
  for (const auto& [id, it] : entries_) {
    if (it.per_second) {
      ++limited_;
      hash_ ^= Hash64(id + "|" + std::to_string(it.started.count()) + "|" +
                      std::to_string(*it.per_second));
    }
  }
}

}  // namespace comfreyfold
