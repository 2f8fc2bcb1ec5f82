#ifndef CORE_PROMPT_CACHE_VIEW_H_
#define CORE_PROMPT_CACHE_VIEW_H_

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/client_call.h"

namespace comfreyfold {

// Estimates which prompt parts an engine has cached, from the prompts that this
// daemon sent to it. Evicts the least recently used parts first, as the engine
// does.
class PromptCacheView {
 public:
  void SetCapacity(std::int64_t tokens) { capacity_ = tokens; }

  // Tokens of `prompt` that the engine would have to prefill. A cached part
  // counts only if all parts before it are cached too.
  std::int64_t UncachedTokens(const std::vector<PromptPart>& prompt) const;
  // Records that the engine ran a request with `prompt`.
  void RecordUse(const std::vector<PromptPart>& prompt);
  void Clear();

 private:
  struct Part {
    std::int64_t tokens = 0;
    std::list<std::string>::iterator lru_position;
  };

  void Touch(const PromptPart& part);
  void Evict();

  std::int64_t capacity_ = 0;  // 0: unknown; only the number of parts is bound.
  std::int64_t tokens_ = 0;
  std::unordered_map<std::string, Part> parts_;
  std::list<std::string> lru_;  // Most recently used first.
};

}  // namespace comfreyfold

#endif  // CORE_PROMPT_CACHE_VIEW_H_
