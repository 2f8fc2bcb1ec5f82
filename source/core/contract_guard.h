#ifndef CORE_CONTRACT_GUARD_H_
#define CORE_CONTRACT_GUARD_H_

#include <chrono>
#include <cstdint>
#include <optional>

namespace comfreyfold {

// Decides whether a daemon may go on with the contracts it has. An outage
// of the service alone never stops it; knowing of a newer revision, or
// having been frozen, does until it has caught up.
class ContractGuard {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  enum class Decision {
    kServe,
    kReloadFirst,  // Serve only after a reload that began from now on.
  };

  // A loop that has not run for `freeze_gap` was frozen. `grace` is how
  // long an older revision may serve once a newer one is known of.
  ContractGuard(std::chrono::milliseconds freeze_gap,
                std::chrono::milliseconds grace)
      : freeze_gap_(freeze_gap), grace_(grace) {}

  // The daemon's loop runs at `now`; call often.
  void Tick(TimePoint now);

  // Somebody has `revision` in force.
  void ObserveRevision(std::int64_t revision, TimePoint now);

  // `revision` is in force here, and was the newest that the service, or a
  // peer in good standing, knew of after `asked_at`.
  void Confirm(std::int64_t revision, TimePoint asked_at);

  Decision Evaluate(TimePoint now);

  // True when a reload is due, also while serving goes on.
  bool reload_due() const { return woke_at_ || behind_since_; }

 private:
  std::chrono::milliseconds freeze_gap_;
  std::chrono::milliseconds grace_;
  std::int64_t confirmed_ = 0;
  std::int64_t heard_of_ = 0;
  std::optional<TimePoint> last_tick_;
  std::optional<TimePoint> woke_at_;
  std::optional<TimePoint> behind_since_;
};

}  // namespace comfreyfold

#endif  // CORE_CONTRACT_GUARD_H_
