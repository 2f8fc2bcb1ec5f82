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
  std::chrono::nanoseconds generation{};  // Expected, after the prefill.
  std::chrono::nanoseconds attained{};    // By its program so far.
  bool first_call = false;
  bool urgent = false;               // Passes the queue.
  std::string server;                // The only one that will do; or empty.
  std::chrono::milliseconds left{};  // Until its deadline; 0: none.
};

// The order to send a call to a server.
struct Dispatch {
  std::uint64_t id = 0;
  EngineChoice choice;
};

// How a dispatched call ended.
struct CallOutcome {
  std::uint64_t id = 0;
  std::int64_t tokens = 0;  // In the engine's memory now.
  std::int64_t cached = 0;  // Found there.
  std::chrono::nanoseconds service{};
  bool failed = false;
};

// Decides which call goes next and to which server: the queue, the choice
// of the server, its health and admission, as one. An event and the time
// in, dispatches out.
class CallScheduler {
 public:
  // Names the servers that may run a call.
  using Servers = std::function<std::vector<std::string>(const ScheduledCall&)>;
  CallScheduler(const DecisionSettings& settings,
                std::uint64_t seed,
                Servers servers);

  // Queues the call, or refuses it.
  AdmissionDecision Submit(const ScheduledCall& call, TimePoint now);

  // The next call to dispatch; it counts against its server from here on.
  // Ask again until there is none after every event.
  std::optional<Dispatch> Next(TimePoint now);

  // Servers of `target` are kept free for its urgent calls.
  void ReserveFor(const std::string& target);

  // A dispatched call ended, or a waiting one was given up.
  void Finished(const CallOutcome& outcome, TimePoint now);
  bool Cancel(std::uint64_t id);

  EngineChooser& chooser() { return chooser_; }
  const EngineChooser& chooser() const { return chooser_; }
  BackendHealth& health() { return health_; }
  std::size_t waiting() const { return queue_.size(); }

 private:
  struct Running {
    ScheduledCall call;
    std::string server;
    std::chrono::nanoseconds cost{};
  };
  std::chrono::nanoseconds CostOf(const ScheduledCall& call) const;
  std::vector<std::string> Usable(const ScheduledCall& call, TimePoint now);
  std::optional<EngineChoice> Place(const QueuedCall& queued, TimePoint now);
  std::optional<EngineChoice> PlaceWithRoom(
      const ScheduledCall& call,
      const std::vector<std::string>& usable,
      TimePoint now);
  std::vector<std::string> Healthy(const ScheduledCall& call,
                                   TimePoint now) const;
  // Those of `usable` that urgent calls go to.
  std::vector<std::string> Reserved(std::vector<std::string> usable) const;
  void RefreshReserved(TimePoint now);
  bool AnyRoom(TimePoint now) const;
  Dispatch Start(const QueuedCall& queued, const EngineChoice& choice);

  const DecisionSettings& settings_;
  Servers servers_;
  EngineChooser chooser_;
  BackendHealth health_;
  CallQueue queue_;
  CallQueue urgent_;
  AdmissionControl admission_;
  std::map<std::uint64_t, ScheduledCall> waiting_;
  std::map<std::uint64_t, Running> running_;
  std::set<std::string> urgent_targets_;
  std::set<std::string> reserved_;  // Servers, as of `reserved_at_`.
  TimePoint reserved_at_;
};

}  // namespace comfreyfold

#endif  // CORE_CALL_SCHEDULER_H_
