#ifndef CORE_CALL_SCHEDULER_H_
#define CORE_CALL_SCHEDULER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/admission_control.h"
#include "core/backend_health.h"
#include "core/call_queue.h"
#include "core/engine_chooser.h"

namespace comfreyfold {

// A call that is ready to run and needs a server.
struct ScheduledCall {
  std::uint64_t id = 0;
  std::string customer;
  std::string target;  // Model, tool or service.
  int weight = 1;
  int priority = 0;
  EngineRequest request;
  std::chrono::nanoseconds generation{};  // Expected time after the prefill.
  std::chrono::nanoseconds attained{};    // Service time of its program so far.
  bool first_call = false;                // Whether it begins its program.
  bool urgent = false;                    // Bypasses admission and the queue.
  std::string server;                     // The only suitable one, or empty.
  std::chrono::milliseconds time_left{};  // Until its deadline; 0: none.
};

// The decision to send a call to a server.
struct Dispatch {
  std::uint64_t id = 0;
  EngineChoice choice;
};

// The result of a dispatched call.
struct CallOutcome {
  std::uint64_t id = 0;
  std::int64_t tokens = 0;  // Cached by the engine after the call.
  std::int64_t cached = 0;  // Found in the engine's cache by the call.
  std::chrono::nanoseconds service{};
  bool failed = false;
};

// Decides which call is dispatched next and to which server. Combines the
// queues, the choice of the server, the servers' health and admission control.
// It does no I/O: the caller reports events with their time and fetches the
// dispatches.
class CallScheduler {
 public:
  // Returns the ids of the servers that can run a call.
  using ServerLookup =
      std::function<std::vector<std::string>(const ScheduledCall&)>;
  CallScheduler(const DecisionSettings& settings,
                std::uint64_t seed,
                ServerLookup servers);

  // Queues or refuses a call.
  AdmissionDecision Submit(const ScheduledCall& call, TimePoint now);

  // Returns the next call to dispatch, which counts as running from then on.
  // Callers repeat this after every event until it returns none.
  std::optional<Dispatch> Next(TimePoint now);

  // Reserves some servers of `target` for its urgent calls.
  void ReserveFor(const std::string& target);

  // Records the end of a dispatched call.
  void Finished(const CallOutcome& outcome, TimePoint now);
  // Removes a waiting call. Returns false when the call is not waiting.
  bool Cancel(std::uint64_t id);

  EngineChooser& chooser() { return chooser_; }
  const EngineChooser& chooser() const { return chooser_; }
  BackendHealth& health() { return health_; }
  std::size_t waiting() const { return queue_.size(); }

 private:
  struct RunningCall {
    ScheduledCall call;
    std::string server;
    std::chrono::nanoseconds cost{};
  };
  std::chrono::nanoseconds CostOf(const ScheduledCall& call) const;
  std::vector<std::string> UsableServers(const ScheduledCall& call,
                                         TimePoint now);
  std::optional<EngineChoice> ChooseServer(const QueuedCall& queued,
                                           TimePoint now);
  std::optional<EngineChoice> ChooseServerWithRoom(
      const ScheduledCall& call,
      const std::vector<std::string>& usable,
      TimePoint now);
  std::vector<std::string> HealthyServers(const ScheduledCall& call,
                                          TimePoint now) const;
  // The part of `usable` that is reserved for urgent calls.
  std::vector<std::string> ReservedServers(
      std::vector<std::string> usable) const;
  void RefreshReservedServers(TimePoint now);
  bool AnyRoom(TimePoint now) const;
  Dispatch Start(const QueuedCall& queued, const EngineChoice& choice);

  const DecisionSettings& settings_;
  ServerLookup servers_;
  EngineChooser chooser_;
  BackendHealth health_;
  CallQueue queue_;
  CallQueue urgent_queue_;
  AdmissionControl admission_;
  std::map<std::uint64_t, ScheduledCall> waiting_;
  std::map<std::uint64_t, RunningCall> running_;
  std::set<std::string> urgent_targets_;
  std::set<std::string> reserved_;  // Ids of servers, as of `reserved_at_`.
  TimePoint reserved_at_;
};

}  // namespace comfreyfold

#endif  // CORE_CALL_SCHEDULER_H_
