#ifndef BENCH_DAEMON_MODEL_H_
#define BENCH_DAEMON_MODEL_H_

#include <map>
#include <string>
#include <vector>

#include "core/call_scheduler.h"
#include "core/hold_policy.h"
#include "core/retry_policy.h"
#include "policy.h"
#include "program_run.h"
#include "scenario.h"

namespace comfreyfold::bench {

// One daemon: its own core objects, which know of the others only what
// heartbeats tell.
class DaemonModel {
 public:
  DaemonModel(const Policy& policy, const Scenario& scenario, int index);

  const std::string& id() const { return id_; }
  CallScheduler& engines() { return engines_; }
  CallScheduler& services() { return services_; }
  RetryPolicy& retries() { return retries_; }
  HoldPolicy& holds() { return holds_; }

  // The program's next turn as a call for the scheduler.
  ScheduledCall TurnCall(const ProgramRun& run, TimePoint now) const;

  // What becomes of the program's engine memory through its pause.
  HoldAction Decide(const ProgramRun& run, TimePoint now) const;
  // Where the program's last turn ran.
  void Remember(const std::string& program, const std::string& engine) {
    last_engine_[program] = engine;
  }
  void RemoveEngine(const std::string& id);

  bool alive = true;

 private:
  std::vector<std::string> EnginesFor(const ScheduledCall& call) const;

  const Policy& policy_;
  std::string id_;
  std::vector<std::string> engine_ids_;
  std::vector<std::string> service_ids_;
  CallScheduler engines_;
  CallScheduler services_;
  HoldPolicy holds_;
  RetryPolicy retries_;
  // Sticky policies: the engine of each program's last turn.
  std::map<std::string, std::string> last_engine_;
};

}  // namespace comfreyfold::bench

#endif  // BENCH_DAEMON_MODEL_H_
