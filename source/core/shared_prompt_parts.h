#ifndef CORE_SHARED_PROMPT_PARTS_H_
#define CORE_SHARED_PROMPT_PARTS_H_

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/client_call.h"

namespace comfreyfold {

// Tracks which prompt parts occur in several sessions. Engines that serve
// requests have most likely cached those parts already, whichever daemon sent
// them; a part of a single session is cached only where that session ran.
class SharedPromptParts {
 public:
  // Records the prompt of a request of `session`.
  void Record(const std::string& session,
              const std::vector<PromptPart>& prompt);
  bool IsShared(const std::string& part) const;
  // Tokens of the parts that were not seen in several sessions.
  std::int64_t UnsharedTokens(const std::vector<PromptPart>& prompt) const;

 private:
  struct Part {
    std::string first_session;
    bool shared = false;
    std::list<std::string>::iterator lru_position;
  };

  std::unordered_map<std::string, Part> parts_;
  std::list<std::string> lru_;  // Most recently used first.
};

}  // namespace comfreyfold

#endif  // CORE_SHARED_PROMPT_PARTS_H_
