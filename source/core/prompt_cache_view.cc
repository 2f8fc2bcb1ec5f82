#include "core/prompt_cache_view.h"

namespace comfreyfold {

namespace {
// Bounds the memory of one view; a part takes at most about 100 bytes.
constexpr std::size_t kMaxParts = 512;
}  // namespace

std::int64_t PromptCacheView::UncachedTokens(
    const std::vector<PromptPart>& prompt) const {
  std::int64_t out = 0;
  bool prefix_ended = false;
  for (const auto& it : prompt) {
    const auto found = parts_.find(it.id);
    prefix_ended = prefix_ended || found == parts_.end();
    if (prefix_ended) {
      out += it.tokens;
    } else if (found->second.tokens < it.tokens) {
      out += it.tokens - found->second.tokens;
      prefix_ended = true;
    }
  }
  return out;
}

void PromptCacheView::RecordUse(const std::vector<PromptPart>& prompt) {
  // In reverse order, so that the first parts become the most recently used.
  for (auto it = prompt.rbegin(); it != prompt.rend(); ++it) {
    Touch(*it);
  }
  Evict();
}

void PromptCacheView::Touch(const PromptPart& part) {
  const auto found = parts_.find(part.id);
  if (found != parts_.end()) {
    tokens_ += part.tokens - found->second.tokens;
    found->second.tokens = part.tokens;
    lru_.splice(lru_.begin(), lru_, found->second.lru_position);
    return;
  }
  lru_.push_front(part.id);
  parts_[part.id] = {part.tokens, lru_.begin()};
  tokens_ += part.tokens;
}

void PromptCacheView::Evict() {
  while (!lru_.empty() && (parts_.size() > kMaxParts ||
                           (capacity_ > 0 && tokens_ > capacity_))) {
    const auto found = parts_.find(lru_.back());
    tokens_ -= found->second.tokens;
    parts_.erase(found);
    lru_.pop_back();
  }
}

void PromptCacheView::Clear() {
  parts_.clear();
  lru_.clear();
  tokens_ = 0;
}

}  // namespace comfreyfold
