#ifndef BENCH_POLICY_H_
#define BENCH_POLICY_H_

#include <string>
#include <vector>

#include "core/decision_settings.h"

namespace comfreyfold::bench {

enum class HoldRule {
  kOurs,        // HoldPolicy decides.
  kEngineOnly,  // The engine's least-recently-used order alone.
  kNever,       // Released after every turn.
  kAlways,      // Pinned until the program ends.
};

// One way to decide everything, ours or a naive one.
struct Policy {
  std::string name;
  bool naive = true;
  bool sticky = false;  // Back to the engine of the turn before.
  bool can_export = false;
  HoldRule holds = HoldRule::kEngineOnly;
  DecisionSettings settings;
};

// Ours first, then the naive ones.
std::vector<Policy> AllPolicies();

// Ours with one lever off each.
std::vector<Policy> Levers();

// Ours with one weight of a token prefilled again each.
std::vector<Policy> Trade();

}  // namespace comfreyfold::bench

#endif  // BENCH_POLICY_H_
