#ifndef CORE_BACKEND_SERVER_H_
#define CORE_BACKEND_SERVER_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "core/time_point.h"

namespace comfreyfold {

// A backend server as described by its registration.
struct BackendServer {
  std::string id;  // Usually new at each start; see `started`.
  std::string service;
  std::string address;  // ip:port
  std::string data_centre;
  std::string version;  // Of its software; empty: unknown.
  int slots = 1;
  bool leaving = false;  // Takes no new requests.
  // How much longer the server is slow after its start.
  std::chrono::milliseconds cold_remaining{0};
  std::chrono::milliseconds started{0};  // Since the Unix epoch.

  friend bool operator==(const BackendServer& a,
                         const BackendServer& b) = default;
};

// The load that a server reported with a response.
struct ServerLoad {
  int running = 0;
  int waiting = 0;
  int slots = 1;
};

}  // namespace comfreyfold

#endif  // CORE_BACKEND_SERVER_H_
