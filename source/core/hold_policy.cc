#include "core/hold_policy.h"

#include <algorithm>
#include <cmath>

namespace comfreyfold {

namespace {

using std::chrono::nanoseconds;

constexpr int kWindow = 32;  // Pauses that a mean spans.
constexpr std::chrono::seconds kFirstGuess{2};
constexpr double kLeastReturnRate = 0.2;

}  // namespace

const HoldPolicy::Pauses* HoldPolicy::Find(const std::string& customer,
                                           const std::string& tool) const {
  const auto tools = pauses_.find(customer);
  if (tools == pauses_.end()) {
    return nullptr;
  }
  const auto it = tools->second.find(tool);
  return it == tools->second.end() ? nullptr : &it->second;
}

void HoldPolicy::ObservePause(const std::string& customer,
                              const std::string& tool,
                              nanoseconds pause,
                              bool returned) {
  auto& it = pauses_[customer][tool];
  it.seen = std::min(it.seen + 1, kWindow);
  it.mean += (pause - it.mean) / it.seen;
  it.return_rate += ((returned ? 1.0 : 0.0) - it.return_rate) / (it.seen + 1);
}

nanoseconds HoldPolicy::ExpectedPause(const std::string& customer,
                                      const std::string& tool) const {
  const auto* it = Find(customer, tool);
  return it == nullptr ? kFirstGuess : it->mean;
}

double HoldPolicy::ReturnRate(const std::string& customer,
                              const std::string& tool) const {
  const auto* it = Find(customer, tool);
  return it == nullptr ? 1.0 : it->return_rate;
}

// Pauses are taken as exponential: the chance that one outlasts the time
// that the engine keeps things is the chance that the context is lost. What
// the peers hold and turns that run use is known from the engine alone.
double HoldPolicy::LossChance(const HoldRequest& question) const {
  const bool over_share =
      question.memory_share > 0 &&
      question.held_tokens + question.tokens > question.memory_share;
  if (over_share || question.memory_short) {
    return 1;
  }
  if (!question.residence) {
    return 0;
  }
  const auto pause = ExpectedPause(question.customer, question.tool);
  return std::exp(
      -static_cast<double>(question.residence->count()) /
      static_cast<double>(std::max<std::int64_t>(1, pause.count())));
}

HoldAction HoldPolicy::Decide(const HoldRequest& question) const {
  const double rate = ReturnRate(question.customer, question.tool);
  if (rate < kLeastReturnRate) {
    return HoldAction::kDrop;
  }
  // An import spares the prefill and what the waste of one weighs besides;
  // the copy costs the tokens that are not outside yet.
  const auto prefill = static_cast<double>(settings_.prefill_per_token.count());
  const auto import = static_cast<double>(settings_.import_per_token.count());
  const double spared =
      prefill * (settings_.latency_weight + settings_.cache_weight) -
      import * settings_.latency_weight;
  const auto added = static_cast<double>(
      std::max<std::int64_t>(0, question.tokens - question.exported_tokens));
  const double benefit = rate * LossChance(question) * spared *
                         static_cast<double>(question.tokens);
  const double cost =
      added * static_cast<double>(settings_.export_per_token.count());
  return question.can_export && benefit > cost ? HoldAction::kExport
                                               : HoldAction::kKeep;
}

}  // namespace comfreyfold
