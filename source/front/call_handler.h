#ifndef FRONT_CALL_HANDLER_H_
#define FRONT_CALL_HANDLER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/call_error.h"
#include "core/program_slack.h"
#include "fleet/decision_log.h"
#include "fleet/fleet_view.h"
#include "front/call.h"
#include "front/call_dispatcher.h"
#include "front/dialect.h"
#include "front/server_gate.h"
#include "log/metrics.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "storage/storage_client.h"

namespace comfreyfold {

// Serves one request of a client after the other, each in a coroutine of its
// own: finds its route, its chain and its budget, waits for a server, passes
// the answer on, and keeps the turn.
class CallHandler {
 public:
  CallHandler(HttpClient& http,
              FleetView& view,
              ServerGate& gate,
              StorageClient& storage,
              DecisionLog& log,
              Metrics& metrics,
              Dialect dialect);

  void Handle(Fiber& fiber, const HttpRequest& request, HttpExchange& client);

 private:
  std::optional<CallError> Prepare(Fiber& fiber, Call& call);
  std::optional<CallError> LoadContext(Fiber& fiber, Call& call);
  std::optional<CallError> ReserveTokens(Fiber& fiber, Call& call);
  void Finish(Fiber& fiber, Call& call, const HttpReply& answer);
  bool KeepTurn(Fiber& fiber, Call& call);
  static std::int64_t TokensPerEvent(const Call& call);
  TokenUse Settlement(const Call& call) const;
  void Refuse(Call& call, const CallError& error);
  void Log(const Call& call,
           const char* outcome,
           const std::string& reason,
           int status);

  FleetView& view_;
  StorageClient& storage_;
  DecisionLog& log_;
  Metrics& metrics_;
  Dialect dialect_;
  ProgramSlack slack_;
  CallDispatcher dispatcher_;
  std::mt19937_64 draw_;
};

}  // namespace comfreyfold

#endif  // FRONT_CALL_HANDLER_H_
