#ifndef TOOL_CONFIRMATION_H_
#define TOOL_CONFIRMATION_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "tool/daemon_finder.h"

namespace comfreyfold {

// What one daemon says of a contract change.
struct Confirmation {
  DaemonAddress daemon;
  bool answered = false;
  std::int64_t revision = 0;          // In force there.
  std::chrono::milliseconds after{};  // From the start of the wait.

  bool Confirms(std::int64_t wanted) const {
    return answered && revision >= wanted;
  }
};

// Asks every daemon until each has `revision` in force, or `wait` is over.
std::vector<Confirmation> AwaitInForce(
    CommandContext& context,
    HttpClient& http,
    const std::vector<DaemonAddress>& daemons,
    std::int64_t revision);

}  // namespace comfreyfold

#endif  // TOOL_CONFIRMATION_H_
