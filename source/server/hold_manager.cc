#include "server/hold_manager.h"

#include <utility>

#include "core/hash.h"

namespace comfreyfold {

namespace {

std::string EngineProgramName(const ProgramKey& program) {
  return program.customer + "/" + program.program;
}

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

HoldManager::HoldManager(Loop& loop,
                         EngineClient& engines,
                         BackendDirectory& directory,
                         DispatchQueue& queue,
                         LaneManager& lanes,
                         EventLog& log,
                         const DecisionSettings& settings)
    : loop_(loop),
      engines_(engines),
      directory_(directory),
      queue_(queue),
      lanes_(lanes),
      log_(log),
      settings_(settings),
      policy_(settings) {}

void HoldManager::OnTurnEnded(const CallContext& context,
                              const std::string& engine,
                              std::int64_t tokens) {
  auto& hold = holds_[context.program];
  hold.engine = engine;
  hold.tokens = tokens;
  hold.tool.clear();
  hold.paused_at = Now();
}

HoldAction HoldManager::Decide(const ProgramKey& program,
                               const Hold& hold) const {
  const auto now = Now();
  const auto& chooser = queue_.scheduler().chooser();
  HoldRequest hold_request;
  hold_request.customer = program.customer;
  hold_request.tool = hold.tool;
  hold_request.tokens = hold.tokens;
  hold_request.exported_tokens = hold.exported_tokens;
  hold_request.held_tokens = chooser.HeldTokens(hold.engine, now);
  hold_request.memory_share = static_cast<std::int64_t>(
      settings_.hold_memory_share * chooser.Share(now) *
      static_cast<double>(chooser.MemoryTokens(hold.engine)));
  hold_request.memory_short = chooser.MemoryShort(hold.engine);
  hold_request.residence = chooser.Residence(hold.engine);
  hold_request.can_export = exported_bytes_ < settings_.export_bytes;
  return policy_.Decide(hold_request);
}

void HoldManager::OnPauseStarted(const CallContext& context) {
  const auto it = holds_.find(context.program);
  if (it == holds_.end() || !it->second.tool.empty()) {
    return;
  }
  auto& hold = it->second;
  hold.tool = context.call.target;
  switch (Decide(context.program, hold)) {
    case HoldAction::kKeep:
      break;
    case HoldAction::kExport:
      ExportHold(context.program, hold);
      break;
    case HoldAction::kDrop:
      DropHold(context.program, hold.engine);
      break;
  }
}

std::int64_t HoldManager::OnPauseEnded(const CallContext& context) {
  const auto it = holds_.find(context.program);
  if (it == holds_.end()) {
    return 0;
  }
  auto& hold = it->second;
  if (!hold.tool.empty()) {
    policy_.ObservePause(context.program.customer, hold.tool,
                         Now() - hold.paused_at, true);
  }
  return hold.exported_tokens;
}

// Runs concurrently with the tool call. If the copy arrives too late, the
// engine of the next turn may have to prefill the tokens again.
void HoldManager::ExportHold(const ProgramKey& program, const Hold& hold) {
  const auto* backend = directory_.Find(hold.engine);
  if (backend == nullptr) {
    return;
  }
  loop_.Spawn([this, program, tokens = hold.tokens, engine = hold.engine,
               address = backend->vm.address](Fiber& fiber) {
    try {
      auto copy = engines_.Export(fiber, address, EngineProgramName(program));
      if (copy.empty()) {
        return;
      }
      StoreCopy(program, std::move(copy), tokens);
      log_.Write({.name = "hold_exported",
                  .customer = program.customer,
                  .program = program.program,
                  .backend = engine});
    } catch (const BackendFailure&) {
    }
  });
}

void HoldManager::StoreCopy(const ProgramKey& program,
                            std::string copy,
                            std::int64_t tokens) {
  const auto it = holds_.find(program);
  if (it == holds_.end()) {
    return;
  }
  auto& hold = it->second;
  exported_bytes_ += static_cast<std::int64_t>(copy.size()) -
                     static_cast<std::int64_t>(hold.exported.size());
  hold.exported = std::move(copy);
  hold.exported_tokens = tokens;
}

// The journal continues to list the engine as a holder, so the memory is
// released again at the end of the program. A failed release here is therefore
// not lost.
void HoldManager::DropHold(const ProgramKey& program,
                           const std::string& engine) {
  queue_.scheduler().chooser().SetCached(engine, EngineProgramName(program), 0,
                                         Now());
  const auto* backend = directory_.Find(engine);
  if (backend == nullptr) {
    return;
  }
  loop_.Spawn(
      [this, program, engine, address = backend->vm.address](Fiber& fiber) {
        try {
          engines_.Release(fiber, address, EngineProgramName(program));
          log_.Write({.name = "hold_dropped",
                      .customer = program.customer,
                      .program = program.program,
                      .backend = engine});
        } catch (const BackendFailure&) {
        }
      });
}

// The copy is always offered, because the contents of an engine's memory are
// only estimated here and the engine may have evicted the hold. The engine
// imports the part that it lacks.
std::int64_t HoldManager::PrepareEngine(Fiber& fiber,
                                        const CallContext& context,
                                        const ServerSlot& slot) {
  const auto it = holds_.find(context.program);
  if (it == holds_.end()) {
    return 0;
  }
  if (!it->second.engine.empty() && it->second.engine != slot.server()) {
    DropHold(context.program, it->second.engine);
  }
  const auto* backend = directory_.Find(slot.server());
  if (backend == nullptr || it->second.exported.empty()) {
    return 0;
  }
  try {
    const auto imported = engines_.Import(
        fiber, std::string(backend->vm.address),
        EngineProgramName(context.program), std::string(it->second.exported));
    if (imported > 0) {
      log_.Write({.name = "hold_imported",
                  .customer = context.program.customer,
                  .program = context.program.program,
                  .backend = slot.server()});
    }
    return imported;
  } catch (const BackendFailure&) {
    // The engine prefills the tokens instead.
    return 0;
  }
}

void HoldManager::Prune() {
  for (auto it = holds_.begin(); it != holds_.end();) {
    const auto& [key, hold] = *it;
    const auto lane =
        lanes_.Find(LaneOf(key.customer, key.program, lanes_.lanes()));
    const auto* program = lane ? lane->state().Find(key) : nullptr;
    if (program != nullptr && !program->ended) {
      ++it;
      continue;
    }
    if (program != nullptr && !hold.tool.empty()) {
      policy_.ObservePause(key.customer, hold.tool, Now() - hold.paused_at,
                           false);
    }
    queue_.scheduler().chooser().Forget(EngineProgramName(key));
    exported_bytes_ -= static_cast<std::int64_t>(hold.exported.size());
    it = holds_.erase(it);
  }
}

}  // namespace comfreyfold
