#include "core/shared_parts.h"

namespace comfreyfold {

namespace {
// Bounds the memory: at most some 150 bytes a part.
constexpr std::size_t kMostParts = 2048;
}  // namespace

void SharedParts::Note(const std::string& session,
                       const std::vector<PromptPart>& prompt) {
  for (const auto& it : prompt) {
    const auto [found, is_new] = parts_.try_emplace(it.id);
    auto& part = found->second;
    if (is_new) {
      part.first_session = session;
      by_use_.push_front(it.id);
      part.place = by_use_.begin();
    } else {
      part.shared = part.shared || part.first_session != session;
      by_use_.splice(by_use_.begin(), by_use_, part.place);
    }
  }
  while (parts_.size() > kMostParts) {
    parts_.erase(by_use_.back());
    by_use_.pop_back();
  }
}

bool SharedParts::IsShared(const std::string& part) const {
  const auto it = parts_.find(part);
  return it != parts_.end() && it->second.shared;
}

std::int64_t SharedParts::OwnTokens(
    const std::vector<PromptPart>& prompt) const {
  std::int64_t out = 0;
  for (const auto& it : prompt) {
    out += IsShared(it.id) ? 0 : it.tokens;
  }
  return out;
}

}  // namespace comfreyfold
