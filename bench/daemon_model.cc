#include "daemon_model.h"

#include <algorithm>

namespace comfreyfold::bench {

namespace {

constexpr std::chrono::milliseconds kDeadline{60000};
// A caller's bound on the answer is about twice what it gets.
constexpr int kAnswersOfBound = 2;

std::vector<std::string> Names(const char* prefix, int n) {
  std::vector<std::string> out(static_cast<std::size_t>(n));
  for (std::size_t i = 0; i < out.size(); ++i) {
    out[i] = prefix + std::to_string(i);
  }
  return out;
}

}  // namespace

DaemonModel::DaemonModel(const Policy& policy,
                         const Scenario& scenario,
                         int index)
    : policy_(policy),
      id_("d" + std::to_string(index)),
      engine_ids_(Names("engine-", scenario.engines)),
      service_ids_(Names("service-", scenario.action_servers)),
      engines_(policy.settings,
               static_cast<std::uint64_t>(index),
               [this](const ScheduledCall& call) { return EnginesFor(call); }),
      services_(policy.settings,
                static_cast<std::uint64_t>(index),
                [this](const ScheduledCall&) { return service_ids_; }),
      holds_(policy.settings),
      retries_(policy.settings) {
  for (const auto& it : engine_ids_) {
    engines_.chooser().SetServer(it, true);
    engines_.chooser().ObserveLoad(
        it, {.slots = scenario.costs.slots,
             .memory_tokens = scenario.costs.memory_tokens});
  }
  for (const auto& it : service_ids_) {
    services_.chooser().SetServer(it, true);
  }
}

std::vector<std::string> DaemonModel::EnginesFor(
    const ScheduledCall& call) const {
  const auto it = last_engine_.find(call.request.program);
  if (policy_.sticky && it != last_engine_.end() &&
      !call.request.avoid.contains(it->second)) {
    return {it->second};
  }
  return engine_ids_;
}

ScheduledCall DaemonModel::TurnCall(const ProgramRun& run,
                                    TimePoint now) const {
  const auto& turn = run.current();
  ScheduledCall out;
  out.id = run.call;
  out.customer = run.spec->customer;
  out.weight = run.spec->weight;
  out.request.program = run.spec->id;
  out.request.prompt_tokens = run.history_tokens + turn.added_tokens;
  out.request.seen_tokens = run.history_tokens;
  out.request.exported_tokens = run.exported_tokens;
  out.request.avoid = run.avoid;
  out.generation =
      turn.max_tokens / kAnswersOfBound * EngineCosts().decode_per_token;
  out.attained = run.attained;
  out.first_call = run.turn == 0;
  const auto deadline = run.spec->patience > std::chrono::nanoseconds::zero()
                            ? run.spec->patience
                            : std::chrono::nanoseconds(kDeadline);
  out.time_left =
      std::max(std::chrono::milliseconds(1),
               std::chrono::duration_cast<std::chrono::milliseconds>(
                   deadline - (now - run.issued)));
  return out;
}

HoldAction DaemonModel::Decide(const ProgramRun& run, TimePoint now) const {
  const auto& chooser = engines_.chooser();
  const double share = policy_.settings.hold_memory_share * chooser.Share(now);
  HoldRequest question;
  question.customer = run.spec->customer;
  question.tool = run.current().tool;
  question.tokens = run.history_tokens;
  question.exported_tokens = run.exported_tokens;
  question.held_tokens = chooser.HeldTokens(run.engine, now);
  question.memory_share = static_cast<std::int64_t>(
      share * static_cast<double>(chooser.MemoryTokens(run.engine)));
  question.memory_short = chooser.MemoryShort(run.engine);
  question.residence = chooser.Residence(run.engine);
  question.can_export = policy_.can_export;
  return holds_.Decide(question);
}

void DaemonModel::RemoveEngine(const std::string& id) {
  std::erase(engine_ids_, id);
  engines_.chooser().SetServer(id, false);
  std::erase_if(last_engine_,
                [&id](const auto& it) { return it.second == id; });
}

}  // namespace comfreyfold::bench
