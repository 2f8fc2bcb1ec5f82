#ifndef CORE_HOLD_POLICY_H_
#define CORE_HOLD_POLICY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/decision_settings.h"

namespace comfreyfold {

enum class HoldAction {
  kKeep,    // Left in the engine's memory.
  kExport,  // Copied out as well; an import makes good an eviction.
  kDrop,    // Released at once.
};

// A program that pauses with its context in an engine's memory.
struct HoldRequest {
  std::string customer;
  std::string tool;
  std::int64_t tokens = 0;
  std::int64_t exported_tokens = 0;  // Of them, copied out before.
  std::int64_t held_tokens = 0;      // By this daemon on that engine.
  std::int64_t memory_share = 0;     // What it may hold there; 0: not known.
  bool memory_short = false;         // By the engine's own report.
  // How long the engine keeps an unused prefix; none: nothing lost yet.
  std::optional<std::chrono::nanoseconds> residence;
  bool can_export = true;
};

// Decides what becomes of engine memory through a tool pause, from the
// pauses learnt for each customer's tools.
class HoldPolicy {
 public:
  explicit HoldPolicy(const DecisionSettings& settings) : settings_(settings) {}

  // A pause ended with the program's next turn, or without one.
  void ObservePause(const std::string& customer,
                    const std::string& tool,
                    std::chrono::nanoseconds pause,
                    bool returned);

  HoldAction Decide(const HoldRequest& question) const;

  std::chrono::nanoseconds ExpectedPause(const std::string& customer,
                                         const std::string& tool) const;
  double ReturnRate(const std::string& customer, const std::string& tool) const;

 private:
  struct Pauses {
    std::chrono::nanoseconds mean{};
    double return_rate = 1.0;
    int seen = 0;
  };
  double LossChance(const HoldRequest& question) const;
  const Pauses* Find(const std::string& customer,
                     const std::string& tool) const;

  const DecisionSettings& settings_;
  std::map<std::string, std::map<std::string, Pauses>> pauses_;
};

}  // namespace comfreyfold

#endif  // CORE_HOLD_POLICY_H_
