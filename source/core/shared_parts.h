#ifndef CORE_SHARED_PARTS_H_
#define CORE_SHARED_PARTS_H_

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/client_call.h"

namespace comfreyfold {

// Which parts of prompts several sessions have in common. Engines in use have
// read those already, whichever daemon sent them there; a session's own parts
// are only where it was served before.
class SharedParts {
 public:
  // Learns from the prompt of a request of `session`.
  void Note(const std::string& session, const std::vector<PromptPart>& prompt);
  bool IsShared(const std::string& part) const;
  // Tokens of the parts that belong to one session alone.
  std::int64_t OwnTokens(const std::vector<PromptPart>& prompt) const;

 private:
  struct Part {
    std::string first_session;
    bool shared = false;
    std::list<std::string>::iterator place;
  };

  std::unordered_map<std::string, Part> parts_;
  std::list<std::string> by_use_;  // Most recent first.
};

}  // namespace comfreyfold

#endif  // CORE_SHARED_PARTS_H_
