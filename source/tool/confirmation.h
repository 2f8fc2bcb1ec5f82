#ifndef TOOL_CONFIRMATION_H_
#define TOOL_CONFIRMATION_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "tool/daemon_finder.h"

namespace comfreyfold {

// Whether a daemon has a contract change in force, as of its last reply.
struct Confirmation {
  DaemonAddress daemon;
  bool answered = false;
  std::int64_t revision = 0;  // Contract revision in force there.
  // From the start of the wait until the last query of this daemon.
  std::chrono::milliseconds elapsed{};

  bool Confirms(std::int64_t wanted) const {
    return answered && revision >= wanted;
  }
};

// Polls the daemons until each has `revision` in force or the confirmation
// timeout of `context` has expired. Returns one entry for each daemon.
std::vector<Confirmation> AwaitRevision(
    CommandContext& context,
    HttpClient& http,
    const std::vector<DaemonAddress>& daemons,
    std::int64_t revision);

}  // namespace comfreyfold

#endif  // TOOL_CONFIRMATION_H_
