#ifndef FRONT_CALL_HANDLER_H_
#define FRONT_CALL_HANDLER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/adaptive_throttle.h"
#include "core/call_error.h"
#include "core/memory_budget.h"
#include "core/program_slack.h"
#include "fleet/decision_log.h"
#include "fleet/fleet_view.h"
#include "front/call.h"
#include "front/call_dispatcher.h"
#include "front/request_codec.h"
#include "front/server_admission.h"
#include "log/metrics.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "storage/storage_client.h"

namespace comfreyfold {

// Handles client requests, each in its own coroutine: finds the route, loads
// the earlier turns of the chain, reserves tokens of the program's budget,
// dispatches the request to a server, relays the answer and stores the turn.
class CallHandler {
 public:
  CallHandler(HttpClient& http,
              FleetView& view,
              ServerAdmission& admission,
              CrashGuard& crash_guard,
              StorageClient& storage,
              DecisionLog& log,
              Metrics& metrics,
              std::shared_ptr<MemoryBudget> bodies,
              std::shared_ptr<MemoryBudget> answers,
              RequestCodec codec);

  void Handle(Fiber& fiber, const HttpRequest& request, HttpExchange& client);

  // Begins a planned stop that ends at `time`. Calls that are not over by then
  // are answered with an error before. Those that arrive from now on are
  // refused unless their time is over before it.
  void StopAt(TimePoint time);

 private:
  std::optional<CallError> Prepare(Fiber& fiber, Call& call);
  std::optional<CallError> LoadContext(Fiber& fiber, Call& call);
  // Returns the error for a request whose answer would have to be held while
  // there is little memory for answers.
  std::optional<CallError> CheckAnswerMemory(const Call& call) const;
  // Returns the error for a turn for which the disks have no room.
  std::optional<CallError> CheckRoom(const Call& call) const;
  std::optional<CallError> ReserveTokens(Fiber& fiber, Call& call);
  void Finish(Fiber& fiber, Call& call, const HttpReply& answer);
  // Returns false if the turn could not be stored on enough disks.
  bool PersistTurn(Fiber& fiber, Call& call);
  static bool ReservesTokens(const Call& call);
  // Returns an error if the request would only add to the overload of the
  // storage daemons.
  std::optional<CallError> CheckStorageLoad(const Call& call);
  // Records whether storage daemons answered a request that was sent at `start`
  // and is given up after `timeout`, or sooner if its client has less time.
  void ObserveStorage(bool answered,
                      TimePoint start,
                      std::chrono::milliseconds timeout);
  static std::int64_t TokensPerEvent(const Call& call);
  // The reservation of `call`, settled with the tokens that the client
  // received.
  TokenUse SettledUse(const Call& call) const;
  // Replies with `error`, or aborts an answer that has already begun.
  void FinishWithError(Call& call, const CallError& error);
  void LogOutcome(const Call& call,
                  const char* outcome,
                  const std::string& reason,
                  int status);

  FleetView& view_;
  CrashGuard& crash_guard_;
  StorageClient& storage_;
  DecisionLog& log_;
  Metrics& metrics_;
  // Answers have a budget of their own: new requests must not make those fail
  // that servers have run.
  std::shared_ptr<MemoryBudget> bodies_;
  std::shared_ptr<MemoryBudget> answers_;
  RequestCodec codec_;
  ProgramSlack slack_;
  VersionGuard version_guard_;
  CallDispatcher dispatcher_;
  TimePoint stop_at_ = TimePoint::max();
  bool stopping_ = false;
  std::mt19937_64 random_;
  AdaptiveThrottle storage_throttle_;
};

}  // namespace comfreyfold

#endif  // FRONT_CALL_HANDLER_H_
