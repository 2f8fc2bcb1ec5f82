// The servers' side of a run: holds, heartbeats, reports, tools, faults.
#include <algorithm>

#include "bench_run.h"
#include "core/hash.h"

namespace comfreyfold::bench {

namespace {

using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr milliseconds kDaemonWay{1};
constexpr milliseconds kHeartbeatInterval{300};
constexpr milliseconds kLoadInterval{500};
constexpr seconds kVmListLag{3};
constexpr seconds kTakeoverTime{2};
constexpr milliseconds kToolEstimate{60};
constexpr int kLanesEach = 4;
constexpr milliseconds kUrgentInterval{250};
constexpr milliseconds kUrgentService{20};

}  // namespace

HoldAction BenchRun::HoldActionOf(const ProgramRun& run) {
  switch (policy_.holds) {
    case HoldRule::kNever:
      return HoldAction::kDrop;
    case HoldRule::kOurs:
      return OwnerOf(run).Decide(run, loop_.now());
    case HoldRule::kEngineOnly:
    case HoldRule::kAlways:
      break;
  }
  return HoldAction::kKeep;
}

void BenchRun::Hold(ProgramRun& run) {
  auto& server = engine(run.engine);
  const auto action = HoldActionOf(run);
  run.held_tokens = run.kept_tokens;
  if (action == HoldAction::kDrop) {
    server.Release(run.spec->id);
    OwnerOf(run).engines().chooser().SetCached(run.engine, run.spec->id, 0,
                                               loop_.now());
    run.held_tokens = 0;
  } else if (action == HoldAction::kExport) {
    Export(run);
  } else if (policy_.holds == HoldRule::kAlways) {
    server.Pin(run.spec->id);
  }
}

void BenchRun::Export(ProgramRun& run) {
  const auto added = run.history_tokens - run.exported_tokens;
  const bool fits =
      export_store_ + added <= scenario_.costs.export_store_tokens;
  if (fits && run.kept_tokens > 0) {
    export_store_ += added;
    run.exported_tokens = run.history_tokens;
  }
}

void BenchRun::CountHoldUse(ProgramRun& run, const EngineTurn::Result& result) {
  // What was lost and prefilled again is counted as such, not twice.
  const auto used = std::max(run.history_tokens, result.cached);
  result_.held_unused_tokens +=
      std::max<std::int64_t>(0, run.held_tokens - used);
  run.held_tokens = 0;
}

void BenchRun::Heartbeat() {
  for (const auto& from : daemons_) {
    if (!from->alive) {
      continue;
    }
    from->engines().chooser().SetOwnedLanes(kLanesEach);
    from->services().chooser().SetOwnedLanes(kLanesEach);
    loop_.After(kDaemonWay, [this, peer = from->id()] {
      for (const auto& to : daemons_) {
        if (to->id() != peer) {
          to->engines().chooser().ObservePeer(peer, kLanesEach, loop_.now());
          to->services().chooser().ObservePeer(peer, kLanesEach, loop_.now());
        }
      }
    });
  }
  loop_.After(kDaemonWay * 2, [this] {
    for (const auto& it : daemons_) {
      Pump(*it);
      PumpServices(*it);
    }
  });
  if (open_ > 0) {
    loop_.After(kHeartbeatInterval, [this] { Heartbeat(); });
  }
}

// What daemons learn is one interval old.
void BenchRun::ReadLoads() {
  for (const auto& [id, it] : engines_) {
    auto& last = last_loads_[id];
    for (const auto& daemon : daemons_) {
      auto told = last;
      told.slots = scenario_.costs.slots;
      told.memory_tokens = scenario_.costs.memory_tokens;
      daemon->engines().chooser().ObserveLoad(id, told);
    }
    last.running = it->running();
    last.waiting = it->waiting();
    last.held_tokens = it->used_tokens();
  }
  for (const auto& [id, it] : services_) {
    auto& last = last_loads_[id];
    for (const auto& daemon : daemons_) {
      auto told = last;
      told.slots = scenario_.action_slots;
      daemon->services().chooser().ObserveLoad(id, told);
    }
    last.running = it->running();
    last.waiting = it->waiting();
  }
  const bool frozen = scenario_.fault == Fault::kReportsFrozen &&
                      loop_.now() - TimePoint() > scenario_.duration / 5;
  if (open_ > 0 && !frozen) {
    loop_.After(kLoadInterval, [this] { ReadLoads(); });
  }
}

void BenchRun::RunTool(ProgramRun& run) {
  const auto asked = loop_.now();
  const auto id = next_call_++;
  const auto& turn = run.current();
  service_calls_[id] = {turn.tool_service, [] {},
                        [this, &run, asked] {
                          // What the tool call waited counts as latency; the
                          // caller's own pause does not.
                          run.latency += loop_.now() - asked;
                          loop_.After(run.current().pause, [this, &run, asked] {
                            EndPause(run, asked);
                          });
                        }};
  SubmitTool(run, id);
}

void BenchRun::SubmitTool(ProgramRun& run, std::uint64_t id) {
  auto& daemon = OwnerOf(run);
  ScheduledCall call;
  call.id = id;
  call.customer = run.spec->customer;
  call.request.program = run.spec->id;
  call.generation = kToolEstimate;
  call.attained = run.attained;
  const auto answer = daemon.services().Submit(call, loop_.now());
  if (!answer.accepted) {
    loop_.After(answer.retry_after, [this, &run, id] { SubmitTool(run, id); });
    return;
  }
  PumpServices(daemon);
}

void BenchRun::SendUrgent() {
  if (loop_.now() - TimePoint() > scenario_.duration) {
    return;
  }
  const auto n = next_call_++;
  auto& daemon = *daemons_[n % daemons_.size()];
  if (daemon.alive) {
    const auto asked = loop_.now();
    service_calls_[n] = {
        kUrgentService,
        [this, asked] {
          result_.urgent_delay_ms.push_back(
              duration<double, std::milli>(loop_.now() - asked).count());
        },
        [] {}};
    ScheduledCall call;
    call.id = n;
    call.customer = "urgent";
    call.generation = kUrgentService;
    call.urgent = !policy_.naive;
    daemon.services().Submit(call, loop_.now());
    PumpServices(daemon);
  }
  loop_.After(kUrgentInterval, [this] { SendUrgent(); });
}

void BenchRun::PumpServices(DaemonModel& daemon) {
  while (const auto dispatch = daemon.services().Next(loop_.now())) {
    const auto call = service_calls_.at(dispatch->id);
    service_calls_.erase(dispatch->id);
    const auto done = [this, &daemon, call, id = dispatch->id] {
      loop_.After(kDaemonWay, [this, &daemon, call, id] {
        daemon.services().Finished({id, 0, 0, call.service, false},
                                   loop_.now());
        call.done();
        PumpServices(daemon);
      });
    };
    loop_.After(
        kDaemonWay, [this, call, done, server = dispatch->choice.engine] {
          services_.at(server)->Submit(call.service, call.started, done);
        });
  }
}

void BenchRun::LoseEngine() {
  const std::string id = "engine-3";
  engine(id).Fail();
  loop_.After(kVmListLag, [this, id] {
    for (const auto& it : daemons_) {
      it->RemoveEngine(id);
      Pump(*it);
    }
  });
}

// Its programs' calls are lost with it; the callers repeat them once the
// lanes have new owners.
void BenchRun::LoseDaemon() {
  std::vector<ProgramRun*> lost;
  auto& daemon = *daemons_[2];
  for (const auto& [call, run] : calls_) {
    if (&OwnerOf(*run) == &daemon) {
      lost.push_back(run);
    }
  }
  daemon.alive = false;
  for (auto* run : lost) {
    calls_.erase(run->call);
    run->call = 0;
    loop_.After(kTakeoverTime, [this, run] { Submit(*run); });
  }
}

}  // namespace comfreyfold::bench
