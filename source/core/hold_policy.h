#ifndef CORE_HOLD_POLICY_H_
#define CORE_HOLD_POLICY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/decision_settings.h"

namespace comfreyfold {

// What to do with a program's context in an engine's memory during a pause.
enum class HoldAction {
  kKeep,    // Leave it in the engine's memory.
  kExport,  // Also export a copy, from which an import restores it if evicted.
  kDrop,    // Release it at once.
};

// A program that pauses with its context in an engine's memory.
struct HoldRequest {
  std::string customer;
  std::string tool;
  std::int64_t tokens = 0;
  std::int64_t exported_tokens = 0;  // Part that was exported before.
  std::int64_t held_tokens = 0;      // Held by this daemon on that engine.
  std::int64_t memory_share = 0;     // Tokens it may hold there; 0: unknown.
  bool memory_short = false;         // As the engine itself reports.
  // How long the engine keeps an unused prefix; none until a loss was observed.
  std::optional<std::chrono::nanoseconds> residence;
  bool can_export = true;
};

// Decides what happens to a program's context in engine memory while a tool
// runs, based on the pauses observed for each tool of a customer.
class HoldPolicy {
 public:
  explicit HoldPolicy(const DecisionSettings& settings) : settings_(settings) {}

  // Records a pause; `returned` says whether the program's next turn ended it.
  void ObservePause(const std::string& customer,
                    const std::string& tool,
                    std::chrono::nanoseconds pause,
                    bool returned);

  HoldAction Decide(const HoldRequest& request) const;

  std::chrono::nanoseconds ExpectedPause(const std::string& customer,
                                         const std::string& tool) const;
  double ReturnRate(const std::string& customer, const std::string& tool) const;

 private:
  struct PauseStatistics {
    std::chrono::nanoseconds mean{};
    double return_rate = 1.0;
    int samples = 0;
  };
  double LossProbability(const HoldRequest& request) const;
  const PauseStatistics* Find(const std::string& customer,
                              const std::string& tool) const;

  const DecisionSettings& settings_;
  // By customer and tool.
  std::map<std::string, std::map<std::string, PauseStatistics>> pauses_;
};

}  // namespace comfreyfold

#endif  // CORE_HOLD_POLICY_H_
