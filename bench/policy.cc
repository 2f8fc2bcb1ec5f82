#include "policy.h"

#include <functional>
#include <limits>
#include <utility>

namespace comfreyfold::bench {

namespace {

Policy Ours(std::string name) {
  Policy out;
  out.name = std::move(name);
  out.naive = false;
  out.can_export = true;
  out.holds = HoldRule::kOurs;
  return out;
}

Policy Naive(std::string name,
             EnginePolicy choice,
             bool sticky,
             HoldRule holds) {
  Policy out;
  out.name = std::move(name);
  out.sticky = sticky;
  out.holds = holds;
  out.settings.policy = choice;
  out.settings.queue_calls = false;
  out.settings.refuse_early = false;
  out.settings.ejection_failures = std::numeric_limits<int>::max();
  return out;
}

Policy Without(std::string name, const std::function<void(Policy&)>& change) {
  auto out = Ours("no " + std::move(name));
  change(out);
  return out;
}

}  // namespace

std::vector<Policy> AllPolicies() {
  return {
      Ours("ours"),
      Naive("round robin", EnginePolicy::kRoundRobin, false,
            HoldRule::kEngineOnly),
      Naive("least loaded", EnginePolicy::kLeastLoaded, false,
            HoldRule::kEngineOnly),
      Naive("first come", EnginePolicy::kRoundRobin, true,
            HoldRule::kEngineOnly),
      Naive("never hold", EnginePolicy::kRoundRobin, true, HoldRule::kNever),
      Naive("always hold", EnginePolicy::kRoundRobin, true, HoldRule::kAlways),
  };
}

std::vector<Policy> Levers() {
  return {
      Ours("ours"),
      Without("cost choice",
              [](Policy& it) {
                it.sticky = true;
                it.settings.policy = EnginePolicy::kRoundRobin;
              }),
      Without("peer shares",
              [](Policy& it) {
                it.settings.peer_report_timeout = std::chrono::milliseconds(0);
              }),
      Without("tight slots",
              [](Policy& it) { it.settings.slot_headroom = 1.25; }),
      Without("urgent servers",
              [](Policy& it) { it.settings.urgent_server_share = 0; }),
      Without("queue", [](Policy& it) { it.settings.queue_calls = false; }),
      Without("memory share",
              [](Policy& it) { it.settings.hold_memory_share = 0; }),
      Without("export", [](Policy& it) { it.can_export = false; }),
      Without("early refusal",
              [](Policy& it) { it.settings.refuse_early = false; }),
      Without("ejection",
              [](Policy& it) {
                it.settings.ejection_failures = std::numeric_limits<int>::max();
              }),
  };
}

std::vector<Policy> Trade() {
  std::vector<Policy> out;
  for (const double weight : {0.0, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0}) {
    auto policy = Ours(std::to_string(weight).substr(0, 4));
    policy.settings.cache_weight = weight;
    out.push_back(policy);
  }
  return out;
}

}  // namespace comfreyfold::bench
