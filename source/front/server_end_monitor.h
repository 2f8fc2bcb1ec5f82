#ifndef FRONT_SERVER_END_MONITOR_H_
#define FRONT_SERVER_END_MONITOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/server_pool.h"
#include "fleet/decision_log.h"
#include "net/http_client.h"
#include "net/loop.h"

namespace comfreyfold {

// Finds out whether servers that break off answers have ended: nothing listens
// at the address of a server that has ended, whereas one that only lost an
// answer still accepts connections.
class ServerEndMonitor {
 public:
  ServerEndMonitor(Loop& loop, HttpClient& http, DecisionLog& log);

  // Records that the answer to the request with this fingerprint broke off.
  void OnBrokenAnswer(const AcquiredSlot& slot, std::uint64_t fingerprint);

 private:
  void Check(Fiber& fiber,
             const std::string& server_id,
             const std::string& address);

  Loop& loop_;
  HttpClient& http_;
  DecisionLog& log_;
  // Fingerprints of requests whose answers broke off, by the servers that are
  // being checked.
  std::map<std::string, std::vector<std::uint64_t>> broken_;
};

}  // namespace comfreyfold

#endif  // FRONT_SERVER_END_MONITOR_H_
