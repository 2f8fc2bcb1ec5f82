#ifndef FRONT_CALL_H_
#define FRONT_CALL_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/call_error.h"
#include "core/client_call.h"
#include "core/memory_budget.h"
#include "core/request_quarantine.h"
#include "core/routing.h"
#include "core/server_pool.h"
#include "core/time_point.h"
#include "core/token_ledger.h"
#include "front/server_call.h"
#include "net/http_server.h"
#include "storage/storage_client.h"

namespace comfreyfold {

// Added to the retention of turns and reservations to allow for clock skew and
// slow programs.
inline constexpr std::chrono::milliseconds kRetentionMargin{30000};

// State of one client request while the daemon handles it.
struct Call {
  Call(const HttpRequest& client_request,
       HttpExchange& client_exchange,
       std::shared_ptr<MemoryBudget> bodies,
       std::shared_ptr<MemoryBudget> answers)
      : request(client_request),
        client(client_exchange),
        body_memory(std::move(bodies)),
        answer_memory(std::move(answers)) {}

  const HttpRequest& request;
  HttpExchange& client;
  MemoryReservation body_memory;    // For `body`.
  MemoryReservation answer_memory;  // For the answer, until it is passed on.
  ClientCall params;                // Decoded from the headers.
  std::shared_ptr<const RoutingConfig> config;  // Keeps `route` alive.
  const Route* route = nullptr;
  std::string service;
  RequestFingerprint fingerprint;
  TimePoint arrived = std::chrono::steady_clock::now();
  TimePoint deadline = arrived;
  // Body to send to servers: the earlier turns of the chain, then the client's
  // own body. Null when the client's body is sent unchanged.
  std::optional<std::string> body;
  std::vector<std::string> chain_turn_ids;  // Earlier turns, newest first.
  std::optional<TokenUse> reserved_tokens;
  std::int64_t max_events = 0;  // That the reserved tokens allow; 0: any.
  // The software version of the server that wrote the events which the client
  // has, empty if that server tells none; null: it has no events, or does not
  // tell who wrote them.
  std::optional<std::string> version;
  // What is recorded of the version at which the stream begins.
  TokenUse version_record;
  // The last store of that record alone; null: none was needed.
  std::shared_ptr<StorageClient::PendingStore> version_store;
  ProgramStage stage = ProgramStage::kStarted;
  std::string cached_server_id;  // The server that last served the program.
  StreamProgress progress;
  int possible_runs = 0;  // Attempts that may have run at a server.
  int refusals = 0;       // Attempts that a server reported as not run.
  std::set<std::string> tried_server_ids;
  std::set<std::string> tried_addresses;
  std::string last_server_id;               // Server of the latest attempt.
  std::chrono::milliseconds store_time{0};  // Waiting for disks.
  int store_tries = 0;
  int store_answers = 0;                    // Disks that have stored the turn.
  std::string store_refusal;                // Why a disk did not.
  std::chrono::milliseconds queue_time{0};  // Waiting for a slot, in total.
  // Requests per slot at the servers of the service when the latest attempt
  // asked for a slot.
  double load_level = 0;
  bool late = false;  // The program cannot finish within its time limit.
};

RequestFingerprint FingerprintOf(const HttpRequest& request,
                                 const std::string& host);

// Error for a request that no server has run.
CallError NotRunError(int status,
                      const char* code,
                      const std::string& message,
                      std::chrono::milliseconds retry_after = {});

// Error for a request that crashes the servers which run it.
CallError QuarantinedError(std::chrono::milliseconds left);

// Returns the name used in log lines.
const char* ToString(ProgramStage stage);

}  // namespace comfreyfold

#endif  // FRONT_CALL_H_
