#ifndef CORE_SERVER_STATE_H_
#define CORE_SERVER_STATE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace comfreyfold {

enum class ServerCondition { kTakesWork, kDraining, kUnreachable };
inline constexpr auto kLastServerCondition = ServerCondition::kUnreachable;

// The state of a backend server as observed by a daemon.
struct ServerState {
  std::string server;
  ServerCondition condition = ServerCondition::kTakesWork;
  std::int64_t clock = 0;  // Hybrid logical clock; the newest state wins.
  int slots = 0;           // 0: unknown.
};

// A message with the servers whose state changed.
struct ServerNews {
  std::vector<ServerState> servers;
};

}  // namespace comfreyfold

#endif  // CORE_SERVER_STATE_H_
