#include "server/hold_manager.h"

#include <utility>

#include "core/hash.h"

namespace comfreyfold {

namespace {

std::string Name(const ProgramKey& program) {
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

void HoldManager::TurnEnded(const CallContext& context,
                            const std::string& engine,
                            std::int64_t tokens) {
  auto& hold = holds_[context.program];
  hold.engine = engine;
  hold.tokens = tokens;
  hold.tool.clear();
  hold.paused = Now();
}

HoldAction HoldManager::Decide(const ProgramKey& program,
                               const Hold& hold) const {
  const auto now = Now();
  const auto& chooser = queue_.scheduler().chooser();
  HoldQuestion question;
  question.customer = program.customer;
  question.tool = hold.tool;
  question.tokens = hold.tokens;
  question.exported_tokens = hold.exported_tokens;
  question.held_tokens = chooser.Held(hold.engine, now);
  question.memory_share = static_cast<std::int64_t>(
      settings_.hold_memory_share * chooser.Share(now) *
      static_cast<double>(chooser.MemoryTokens(hold.engine)));
  question.memory_short = chooser.MemoryShort(hold.engine);
  question.residence = chooser.Residence(hold.engine);
  question.can_export = exported_bytes_ < settings_.export_bytes;
  return policy_.Decide(question);
}

void HoldManager::PauseBegins(const CallContext& context) {
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
      Export(context.program, hold);
      break;
    case HoldAction::kDrop:
      Drop(context.program, hold.engine);
      break;
  }
}

std::int64_t HoldManager::PauseEnds(const CallContext& context) {
  const auto it = holds_.find(context.program);
  if (it == holds_.end()) {
    return 0;
  }
  auto& hold = it->second;
  if (!hold.tool.empty()) {
    policy_.ObservePause(context.program.customer, hold.tool,
                         Now() - hold.paused, true);
  }
  return hold.exported_tokens;
}

// Beside the tool call: a copy that comes too late only costs a prefill.
void HoldManager::Export(const ProgramKey& program, const Hold& hold) {
  const auto* backend = directory_.Find(hold.engine);
  if (backend == nullptr) {
    return;
  }
  loop_.Spawn([this, program, tokens = hold.tokens, engine = hold.engine,
               address = backend->vm.address](Fiber& fiber) {
    try {
      auto copy = engines_.Export(fiber, address, Name(program));
      if (copy.empty()) {
        return;
      }
      Keep(program, std::move(copy), tokens);
      log_.Write({.name = "hold_exported",
                  .customer = program.customer,
                  .program = program.program,
                  .backend = engine});
    } catch (const BackendFailure&) {
    }
  });
}

void HoldManager::Keep(const ProgramKey& program,
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

// The journal goes on naming the engine, so the end of the program releases
// it once more: an engine that was slow to drop is not forgotten.
void HoldManager::Drop(const ProgramKey& program, const std::string& engine) {
  queue_.scheduler().chooser().SetCached(engine, Name(program), 0, Now());
  const auto* backend = directory_.Find(engine);
  if (backend == nullptr) {
    return;
  }
  loop_.Spawn(
      [this, program, engine, address = backend->vm.address](Fiber& fiber) {
        try {
          engines_.Release(fiber, address, Name(program));
          log_.Write({.name = "hold_dropped",
                      .customer = program.customer,
                      .program = program.program,
                      .backend = engine});
        } catch (const BackendFailure&) {
        }
      });
}

// A copy was made because the engine may lose its own, and what is believed
// of an engine's memory is a guess: the engine is offered the copy, and takes
// of it what it lacks.
std::int64_t HoldManager::BeforeTurn(Fiber& fiber,
                                     const CallContext& context,
                                     const ServerSlot& slot) {
  const auto it = holds_.find(context.program);
  if (it == holds_.end()) {
    return 0;
  }
  if (!it->second.engine.empty() && it->second.engine != slot.server()) {
    Drop(context.program, it->second.engine);
  }
  const auto* backend = directory_.Find(slot.server());
  if (backend == nullptr || it->second.exported.empty()) {
    return 0;
  }
  try {
    const auto imported = engines_.Import(
        fiber, std::string(backend->vm.address), Name(context.program),
        std::string(it->second.exported));
    if (imported > 0) {
      log_.Write({.name = "hold_imported",
                  .customer = context.program.customer,
                  .program = context.program.program,
                  .backend = slot.server()});
    }
    return imported;
  } catch (const BackendFailure&) {
    // The engine prefills instead.
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
      policy_.ObservePause(key.customer, hold.tool, Now() - hold.paused, false);
    }
    queue_.scheduler().chooser().Forget(Name(key));
    exported_bytes_ -= static_cast<std::int64_t>(hold.exported.size());
    it = holds_.erase(it);
  }
}

}  // namespace comfreyfold
