#ifndef FRONT_CRASH_GUARD_H_
#define FRONT_CRASH_GUARD_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/server_pool.h"
#include "fleet/decision_log.h"
#include "fleet/fleet_view.h"
#include "net/http_client.h"
#include "net/loop.h"

namespace comfreyfold {

// Keeps requests that crash backend servers away from them.
//
// Nothing listens at the address of a server that has crashed, whereas one that
// only lost an answer still accepts connections. So a connection is opened
// where an answer broke off.
class CrashGuard {
 public:
  CrashGuard(Loop& loop, HttpClient& http, FleetView& view, DecisionLog& log);

  // Records that the answer to the request with this fingerprint broke off.
  // `had_output` says whether a part of it had arrived.
  void OnBrokenAnswer(const AcquiredSlot& slot,
                      const RequestFingerprint& fingerprint,
                      bool had_output);
  // Records that the server answered the request.
  void OnAnswer(const AcquiredSlot& slot,
                const RequestFingerprint& fingerprint);

  // Returns the time for which no server may be sent the request; 0: none.
  std::chrono::milliseconds QuarantineLeft(
      const RequestFingerprint& fingerprint) const;
  // Records that a server is sent the request.
  void OnSend(const AcquiredSlot& slot, const RequestFingerprint& fingerprint);

 private:
  struct BrokenAnswers {
    std::string address;
    int answers = 0;
    std::vector<SuspectRun> runs;
  };

  void CheckServer(Fiber& fiber, const std::string& server_id);
  // Logs the requests that were quarantined since the last call.
  void LogQuarantined();

  Loop& loop_;
  HttpClient& http_;
  FleetView& view_;
  DecisionLog& log_;
  std::map<std::string, BrokenAnswers> broken_;  // By server being checked.
  std::vector<std::uint64_t> logged_;
};

// Returns the form of a fingerprint that log lines use.
std::string FingerprintText(std::uint64_t fingerprint);

}  // namespace comfreyfold

#endif  // FRONT_CRASH_GUARD_H_
