#include "core/hold_policy.h"

#include <algorithm>
#include <cmath>

namespace comfreyfold {

namespace {

using std::chrono::nanoseconds;

constexpr int kAverageWindow = 32;  // Pauses that a moving average spans.
constexpr std::chrono::seconds kDefaultPause{2};
// Contexts are dropped when fewer programs than this return to them.
constexpr double kMinReturnRate = 0.2;

}  // namespace

const HoldPolicy::PauseStatistics* HoldPolicy::Find(
    const std::string& customer,
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
  it.samples = std::min(it.samples + 1, kAverageWindow);
  it.mean += (pause - it.mean) / it.samples;
  it.return_rate +=
      ((returned ? 1.0 : 0.0) - it.return_rate) / (it.samples + 1);
}

nanoseconds HoldPolicy::ExpectedPause(const std::string& customer,
                                      const std::string& tool) const {
  const auto* it = Find(customer, tool);
  return it == nullptr ? kDefaultPause : it->mean;
}

double HoldPolicy::ReturnRate(const std::string& customer,
                              const std::string& tool) const {
  const auto* it = Find(customer, tool);
  return it == nullptr ? 1.0 : it->return_rate;
}

// Assumes exponentially distributed pauses: the context is lost when a pause
// outlasts the engine's residence time. Memory used by other daemons and by
// running turns is known only from the engine's own report.
double HoldPolicy::LossProbability(const HoldRequest& request) const {
  const bool over_share =
      request.memory_share > 0 &&
      request.held_tokens + request.tokens > request.memory_share;
  if (over_share || request.memory_short) {
    return 1;
  }
  if (!request.residence) {
    return 0;
  }
  const auto pause = ExpectedPause(request.customer, request.tool);
  return std::exp(
      -static_cast<double>(request.residence->count()) /
      static_cast<double>(std::max<std::int64_t>(1, pause.count())));
}

HoldAction HoldPolicy::Decide(const HoldRequest& request) const {
  const double rate = ReturnRate(request.customer, request.tool);
  if (rate < kMinReturnRate) {
    return HoldAction::kDrop;
  }
  // An import saves the prefill and the additional weight of prefilling tokens
  // again. An export costs time for the tokens not exported before.
  const auto prefill = static_cast<double>(settings_.prefill_per_token.count());
  const auto import = static_cast<double>(settings_.import_per_token.count());
  const double saved_per_token =
      prefill * (settings_.latency_weight + settings_.cache_weight) -
      import * settings_.latency_weight;
  const auto new_tokens = static_cast<double>(
      std::max<std::int64_t>(0, request.tokens - request.exported_tokens));
  const double benefit = rate * LossProbability(request) * saved_per_token *
                         static_cast<double>(request.tokens);
  const double cost =
      new_tokens * static_cast<double>(settings_.export_per_token.count());
  return request.can_export && benefit > cost ? HoldAction::kExport
                                              : HoldAction::kKeep;
}

}  // namespace comfreyfold
