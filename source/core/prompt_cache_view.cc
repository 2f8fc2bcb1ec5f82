#include "core/prompt_cache_view.h"

namespace comfreyfold {

namespace {
// Bounds the memory of one view: at most some 100 bytes a part.
constexpr std::size_t kMostParts = 512;
}  // namespace

std::int64_t PromptCacheView::Uncached(
    const std::vector<PromptPart>& prompt) const {
  std::int64_t out = 0;
  bool broken = false;
  for (const auto& it : prompt) {
    const auto found = parts_.find(it.id);
    broken = broken || found == parts_.end();
    if (broken) {
      out += it.tokens;
    } else if (found->second.tokens < it.tokens) {
      out += it.tokens - found->second.tokens;
      broken = true;
    }
  }
  return out;
}

void PromptCacheView::Used(const std::vector<PromptPart>& prompt) {
  // Backwards, so that the first parts count as the most recently used.
  for (auto it = prompt.rbegin(); it != prompt.rend(); ++it) {
    Use(*it);
  }
  Shrink();
}

void PromptCacheView::Use(const PromptPart& part) {
  const auto found = parts_.find(part.id);
  if (found != parts_.end()) {
    tokens_ += part.tokens - found->second.tokens;
    found->second.tokens = part.tokens;
    by_use_.splice(by_use_.begin(), by_use_, found->second.place);
    return;
  }
  by_use_.push_front(part.id);
  parts_[part.id] = {part.tokens, by_use_.begin()};
  tokens_ += part.tokens;
}

void PromptCacheView::Shrink() {
  while (!by_use_.empty() && (parts_.size() > kMostParts ||
                              (capacity_ > 0 && tokens_ > capacity_))) {
    const auto found = parts_.find(by_use_.back());
    tokens_ -= found->second.tokens;
    parts_.erase(found);
    by_use_.pop_back();
  }
}

void PromptCacheView::Clear() {
  parts_.clear();
  by_use_.clear();
  tokens_ = 0;
}

}  // namespace comfreyfold
