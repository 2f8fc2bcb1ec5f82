#ifndef CORE_TURN_RECORD_H_
#define CORE_TURN_RECORD_H_

#include <chrono>
#include <string>

namespace comfreyfold {

// The input and output that one turn added to the chain of its program. Never
// changed after it is created.
struct TurnRecord {
  std::string id;      // Request id of the turn.
  std::string parent;  // Id of the previous turn; empty for the first one.
  std::string input;
  std::string output;
  std::chrono::milliseconds expires_at{0};  // Since the Unix epoch.

  std::size_t bytes() const {
    return id.size() + parent.size() + input.size() + output.size();
  }
};

}  // namespace comfreyfold

#endif  // CORE_TURN_RECORD_H_
