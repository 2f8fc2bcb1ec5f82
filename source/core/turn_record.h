#ifndef CORE_TURN_RECORD_H_
#define CORE_TURN_RECORD_H_

#include <chrono>
#include <string>

namespace comfreyfold {

// What one turn of a program added to its chain. Never changed once made.
struct TurnRecord {
  std::string id;      // Request id of the turn.
  std::string parent;  // Id of the turn before; empty at the start of a chain.
  std::string input;
  std::string output;
  std::chrono::milliseconds expires_at{0};  // Since the Unix epoch.

  std::size_t bytes() const {
    return id.size() + parent.size() + input.size() + output.size();
  }
};

}  // namespace comfreyfold

#endif  // CORE_TURN_RECORD_H_
