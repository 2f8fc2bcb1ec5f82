#include "core/shared_prompt_parts.h"

namespace comfreyfold {

namespace {
// Bounds the memory; a part takes at most about 150 bytes.
constexpr std::size_t kMaxParts = 2048;
}  // namespace

void SharedPromptParts::Record(const std::string& session,
                               const std::vector<PromptPart>& prompt) {
  for (const auto& it : prompt) {
    const auto [found, is_new] = parts_.try_emplace(it.id);
    auto& part = found->second;
    if (is_new) {
      part.first_session = session;
      lru_.push_front(it.id);
      part.lru_position = lru_.begin();
    } else {
      part.shared = part.shared || part.first_session != session;
      lru_.splice(lru_.begin(), lru_, part.lru_position);
    }
  }
  while (parts_.size() > kMaxParts) {
    parts_.erase(lru_.back());
    lru_.pop_back();
  }
}

bool SharedPromptParts::IsShared(const std::string& part) const {
  const auto it = parts_.find(part);
  return it != parts_.end() && it->second.shared;
}

std::int64_t SharedPromptParts::UnsharedTokens(
    const std::vector<PromptPart>& prompt) const {
  std::int64_t out = 0;
  for (const auto& it : prompt) {
    out += IsShared(it.id) ? 0 : it.tokens;
  }
  return out;
}

}  // namespace comfreyfold
