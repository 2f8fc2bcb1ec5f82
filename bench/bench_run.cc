#include "bench_run.h"

#include <algorithm>

#include "core/hash.h"

namespace comfreyfold::bench {

namespace {

using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr milliseconds kCallerWay{2};  // Caller, entry daemon, owner.
constexpr int kRefusedTries = 3;
constexpr seconds kIdleLimit{240};  // A program unheard of is ended.
constexpr seconds kMostDrain{600};

double Seconds(nanoseconds time) {
  return duration<double>(time).count();
}

}  // namespace

BenchRun::BenchRun(const Policy& policy,
                   const Scenario& scenario,
                   WorkloadKind kind,
                   std::uint64_t seed)
    : policy_(policy), scenario_(scenario) {
  if (kind == WorkloadKind::kQuote) {
    scenario_.action_servers /= 2;
  }
  WorkloadOptions options{kind, seed, scenario_.duration};
  options.slots = scenario_.engines * scenario_.costs.slots;
  options.base_load = scenario_.base_load;
  options.flood_load = scenario_.flood_load;
  programs_ = Generate(options, scenario_.costs);
  runs_.resize(programs_.size());
  for (int i = 0; i < scenario_.engines; ++i) {
    const auto id = "engine-" + std::to_string(i);
    engines_[id] = std::make_unique<EngineModel>(loop_, scenario_.costs);
  }
  for (int i = 0; i < scenario_.action_servers; ++i) {
    services_["service-" + std::to_string(i)] =
        std::make_unique<ServiceModel>(loop_, scenario_.action_slots);
  }
  for (int i = 0; i < scenario_.daemons; ++i) {
    daemons_.push_back(std::make_unique<DaemonModel>(policy_, scenario_, i));
  }
}

Result BenchRun::Run() {
  for (std::size_t i = 0; i < programs_.size(); ++i) {
    runs_[i].spec = &programs_[i];
    loop_.After(programs_[i].arrival, [this, i] { StartTurn(runs_[i]); });
  }
  open_ = static_cast<int>(programs_.size());
  result_.programs = open_;
  const auto fault_at = scenario_.duration * 2 / 5;
  if (scenario_.fault == Fault::kEngineLost) {
    loop_.After(fault_at, [this] { LoseEngine(); });
  }
  if (scenario_.fault == Fault::kDaemonLost) {
    loop_.After(fault_at, [this] { LoseDaemon(); });
  }
  Heartbeat();
  ReadLoads();
  SendUrgent();
  loop_.Run(TimePoint() + scenario_.duration);
  for (const auto& [id, it] : engines_) {
    result_.useful_work_s += Seconds(it->busy());
  }
  result_.capacity_s =
      Seconds(scenario_.duration) * scenario_.engines * scenario_.costs.slots;
  loop_.Run(TimePoint() + scenario_.duration + kMostDrain);
  result_.failed += open_;
  return result_;
}

DaemonModel& BenchRun::OwnerOf(const ProgramRun& run) {
  std::vector<DaemonModel*> alive;
  for (const auto& it : daemons_) {
    if (it->alive) {
      alive.push_back(it.get());
    }
  }
  // Rendezvous hashing: a daemon's loss moves only its own programs.
  return **std::max_element(alive.begin(), alive.end(),
                            [&run](const auto* a, const auto* b) {
                              return Hash64(run.spec->id, Hash64(a->id())) <
                                     Hash64(run.spec->id, Hash64(b->id()));
                            });
}

void BenchRun::StartTurn(ProgramRun& run) {
  run.issued = loop_.now();
  run.attempts = 0;
  run.avoid.clear();
  loop_.After(kCallerWay, [this, &run] { Submit(run); });
  WatchPatience(run);
}

void BenchRun::WatchPatience(ProgramRun& run) {
  if (run.spec->patience == nanoseconds::zero()) {
    return;
  }
  loop_.After(run.spec->patience, [this, &run, issued = run.issued] {
    const bool waits = !run.over && run.issued == issued && run.paused < issued;
    if (waits) {
      ++result_.abandoned;
      GiveUp(run);
    }
  });
}

void BenchRun::Submit(ProgramRun& run) {
  if (run.over) {
    return;
  }
  auto& daemon = OwnerOf(run);
  run.call = next_call_++;
  const auto answer =
      daemon.engines().Submit(daemon.TurnCall(run, loop_.now()), loop_.now());
  if (!answer.accepted) {
    run.call = 0;
    const bool first = run.turn == 0;
    if (first || ++run.attempts > kRefusedTries) {
      ++result_.refused;
      ++result_.customer_refused[run.spec->customer];
      GiveUp(run);
      return;
    }
    loop_.After(answer.retry_after, [this, &run] { Submit(run); });
    return;
  }
  daemon.retries().ObserveCall();
  calls_[run.call] = &run;
  Pump(daemon);
}

void BenchRun::Pump(DaemonModel& daemon) {
  if (!daemon.alive) {
    return;
  }
  while (const auto dispatch = daemon.engines().Next(loop_.now())) {
    Send(daemon, *dispatch);
  }
}

void BenchRun::Send(DaemonModel& daemon, const Dispatch& dispatch) {
  auto& run = *calls_.at(dispatch.id);
  const auto id = dispatch.choice.engine;
  // A copy left on another engine would be held for nothing.
  if (!policy_.naive && !run.engine.empty() && run.engine != id) {
    engine(run.engine).Release(run.spec->id);
    daemon.engines().chooser().SetCached(run.engine, run.spec->id, 0,
                                         loop_.now());
  }
  EngineTurn turn;
  turn.program = run.spec->id;
  turn.prompt_tokens = run.history_tokens + run.current().added_tokens;
  turn.answer_tokens = run.current().answer_tokens;
  turn.exported_tokens = run.exported_tokens;
  const auto way = milliseconds(1);
  turn.done = [this, &run, &daemon, call = dispatch.id, id,
               way](const EngineTurn::Result& result) {
    loop_.After(way, [this, &run, &daemon, call, id, result] {
      if (!daemon.alive) {
        return;
      }
      daemon.engines().Finished(
          {call, result.kept, result.cached, result.service, result.failed},
          loop_.now());
      TurnDone(run, call, id, result);
      Pump(daemon);
    });
  };
  loop_.After(way, [this, id, turn] { engine(id).Submit(turn); });
}

void BenchRun::TurnDone(ProgramRun& run,
                        std::uint64_t call,
                        const std::string& id,
                        const EngineTurn::Result& result) {
  calls_.erase(call);
  if (run.over || run.call != call) {
    // Nobody waits for it; what it left in memory is released.
    if (!policy_.naive && run.over) {
      engine(id).Release(run.spec->id);
    }
    return;
  }
  run.call = 0;
  if (result.failed) {
    run.avoid.insert(id);
    Retry(run);
    return;
  }
  const auto prompt = run.history_tokens + run.current().added_tokens;
  result_.prompt_tokens += prompt;
  const auto again = std::max<std::int64_t>(
      0, run.history_tokens - result.cached - result.imported);
  result_.prefilled_again_tokens += again;
  result_.again_after_move_tokens += run.engine == id ? 0 : again;
  CountHoldUse(run, result);
  run.history_tokens = prompt + run.current().answer_tokens;
  run.kept_tokens = result.kept;
  run.engine = id;
  run.attained += result.service;
  OwnerOf(run).Remember(run.spec->id, id);
  run.latency += loop_.now() + kCallerWay - run.issued;
  result_.customer_work_s[run.spec->customer] += Seconds(result.service);
  if (run.turn + 1 == run.spec->turns.size()) {
    ++result_.finished;
    result_.latency_s.push_back(Seconds(run.latency));
    result_.customer_latency_s[run.spec->customer].push_back(
        Seconds(run.latency));
    End(run);
    return;
  }
  StartPause(run);
}

void BenchRun::Retry(ProgramRun& run) {
  ++run.attempts;
  const auto pause = OwnerOf(run).retries().Next(
      {Verdict::kMayHaveRun, true, run.attempts, 3, seconds(60)});
  if (!pause) {
    ++result_.failed;
    GiveUp(run);
    return;
  }
  loop_.After(*pause, [this, &run] { Submit(run); });
}

void BenchRun::StartPause(ProgramRun& run) {
  run.paused = loop_.now();
  Hold(run);
  const bool dies =
      run.spec->dies && run.turn + 1 >= run.spec->turns.size() / 2;
  if (dies) {
    loop_.After(kIdleLimit, [this, &run] {
      OwnerOf(run).holds().ObservePause(run.spec->customer, run.current().tool,
                                        kIdleLimit, false);
      GiveUp(run);
    });
    return;
  }
  RunTool(run);
}

void BenchRun::EndPause(ProgramRun& run, TimePoint began) {
  OwnerOf(run).holds().ObservePause(run.spec->customer, run.current().tool,
                                    loop_.now() - began, true);
  ++run.turn;
  StartTurn(run);
}

void BenchRun::GiveUp(ProgramRun& run) {
  if (run.call != 0 && OwnerOf(run).engines().Cancel(run.call)) {
    calls_.erase(run.call);
  }
  result_.held_unused_tokens += run.held_tokens;
  run.held_tokens = 0;
  End(run);
}

void BenchRun::End(ProgramRun& run) {
  run.over = true;
  --open_;
  export_store_ -= run.exported_tokens;
  if (!run.engine.empty()) {
    engine(run.engine).Release(run.spec->id);
  }
  OwnerOf(run).engines().chooser().Forget(run.spec->id);
}

}  // namespace comfreyfold::bench
