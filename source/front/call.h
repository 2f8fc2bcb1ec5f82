#ifndef FRONT_CALL_H_
#define FRONT_CALL_H_

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/call_error.h"
#include "core/client_call.h"
#include "core/routing.h"
#include "core/server_pool.h"
#include "core/time_point.h"
#include "core/token_ledger.h"
#include "front/server_call.h"
#include "net/http_server.h"

namespace comfreyfold {

// One request of a client on its way through the daemon.
struct Call {
  Call(const HttpRequest& asked, HttpExchange& exchange)
      : request(asked), client(exchange) {}

  const HttpRequest& request;
  HttpExchange& client;
  ClientCall info;
  std::shared_ptr<const RoutingConfig> config;  // Keeps `route` alive.
  const Route* route = nullptr;
  std::string service;
  TimePoint arrived = std::chrono::steady_clock::now();
  TimePoint deadline = arrived;
  std::optional<std::string> body;  // With the chain before it.
  std::vector<std::string> chain;
  std::optional<TokenUse> reserved;
  ProgramStage stage = ProgramStage::kStarted;
  std::string cached_at;  // The server that served the program last.
  StreamProgress progress;
  int runs = 0;      // Servers that may have run it.
  int refusals = 0;  // Servers that said they did not.
  std::set<std::string> excluded;
  std::string server;  // The last one.
  std::chrono::milliseconds waited{0};
  double level = 0;   // Of the service's servers, when it asked for a place.
  bool late = false;  // Its program cannot finish in time.
};

// Time until `deadline`; negative when it has passed.
std::chrono::milliseconds Left(TimePoint deadline);

// The refusal of a request that no server has run.
CallError NotRun(int status,
                 const char* code,
                 const std::string& message,
                 std::chrono::milliseconds retry_after = {});

// As log lines name it.
const char* ToString(ProgramStage stage);

}  // namespace comfreyfold

#endif  // FRONT_CALL_H_
