#ifndef CORE_PROMPT_CACHE_VIEW_H_
#define CORE_PROMPT_CACHE_VIEW_H_

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/client_call.h"

namespace comfreyfold {

// The prompt parts that an engine probably still has in memory, judged by
// what this daemon sent there. The least recently used leave first, as they
// do at the engine.
class PromptCacheView {
 public:
  void SetCapacity(std::int64_t tokens) { capacity_ = tokens; }

  // Tokens of `prompt` that the engine would have to read: a part is of use
  // only if all parts before it are there too.
  std::int64_t Uncached(const std::vector<PromptPart>& prompt) const;
  void Used(const std::vector<PromptPart>& prompt);
  void Clear();

 private:
  struct Part {
    std::int64_t tokens = 0;
    std::list<std::string>::iterator place;
  };

  void Use(const PromptPart& part);
  void Shrink();

  std::int64_t capacity_ = 0;  // 0: unknown, a bound of parts applies.
  std::int64_t tokens_ = 0;
  std::unordered_map<std::string, Part> parts_;
  std::list<std::string> by_use_;  // The most recently used in front.
};

}  // namespace comfreyfold

#endif  // CORE_PROMPT_CACHE_VIEW_H_
