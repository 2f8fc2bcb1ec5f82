#ifndef BENCH_BENCH_RUN_H_
#define BENCH_BENCH_RUN_H_

#include <map>
#include <memory>
#include <vector>

#include "daemon_model.h"
#include "engine_model.h"
#include "event_loop.h"
#include "policy.h"
#include "program_run.h"
#include "result.h"
#include "scenario.h"

namespace comfreyfold::bench {

// One policy on one workload and scenario, from the first program's arrival
// until the last one's end.
class BenchRun {
 public:
  BenchRun(const Policy& policy,
           const Scenario& scenario,
           WorkloadKind kind,
           std::uint64_t seed);

  Result Run();

 private:
  // Programs.
  void StartTurn(ProgramRun& run);
  void Submit(ProgramRun& run);
  void TurnDone(ProgramRun& run,
                std::uint64_t call,
                const std::string& engine,
                const EngineTurn::Result& result);
  void Retry(ProgramRun& run);
  void WatchPatience(ProgramRun& run);
  void StartPause(ProgramRun& run);
  void EndPause(ProgramRun& run, TimePoint began);
  void GiveUp(ProgramRun& run);
  void End(ProgramRun& run);

  // Holds.
  HoldAction HoldActionOf(const ProgramRun& run);
  void Hold(ProgramRun& run);
  void Export(ProgramRun& run);
  void CountHoldUse(ProgramRun& run, const EngineTurn::Result& result);

  // Daemons.
  DaemonModel& OwnerOf(const ProgramRun& run);
  void Pump(DaemonModel& daemon);
  void Send(DaemonModel& daemon, const Dispatch& dispatch);
  void Heartbeat();
  void ReadLoads();
  void SendUrgent();
  void RunTool(ProgramRun& run);
  void SubmitTool(ProgramRun& run, std::uint64_t id);
  void PumpServices(DaemonModel& daemon);

  // Faults.
  void LoseEngine();
  void LoseDaemon();

  EngineModel& engine(const std::string& id) { return *engines_.at(id); }

  const Policy& policy_;
  Scenario scenario_;
  EventLoop loop_;
  std::vector<GeneratedProgram> programs_;
  std::vector<ProgramRun> runs_;
  std::map<std::string, std::unique_ptr<EngineModel>> engines_;
  std::map<std::string, std::unique_ptr<ServiceModel>> services_;
  std::vector<std::unique_ptr<DaemonModel>> daemons_;
  std::map<std::uint64_t, ProgramRun*> calls_;  // Model turns by call id.
  // A call to an action server, ours to start when the scheduler says so.
  struct ServiceCall {
    std::chrono::nanoseconds service{};
    std::function<void()> started;
    std::function<void()> done;
  };
  std::map<std::uint64_t, ServiceCall> service_calls_;
  std::map<std::string, EngineLoad> last_loads_;
  std::uint64_t next_call_ = 1;
  std::int64_t export_store_ = 0;
  int open_ = 0;
  Result result_;
};

}  // namespace comfreyfold::bench

#endif  // BENCH_BENCH_RUN_H_
