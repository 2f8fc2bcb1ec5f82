#ifndef CORE_CONTRACT_GUARD_H_
#define CORE_CONTRACT_GUARD_H_

#include <chrono>
#include <cstdint>
#include <optional>

namespace comfreyfold {

// Decides whether a daemon may serve with the contracts it has loaded. An
// outage of the key-value service alone never stops it. It has to reload the
// contracts first when its process was frozen, or when it has known of a newer
// revision for longer than the grace period.
class ContractGuard {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  enum class Decision {
    kServe,
    kReloadFirst,  // Serve only after a reload that starts from now on.
  };

  // The process counts as frozen when its event loop has not run for more
  // than `freeze_gap`. `grace` is how long an older revision may be served
  // once a newer one is known.
  ContractGuard(std::chrono::milliseconds freeze_gap,
                std::chrono::milliseconds grace)
      : freeze_gap_(freeze_gap), grace_(grace) {}

  // Records that the event loop ran at `now`. Must be called at intervals
  // shorter than `freeze_gap`.
  void Tick(TimePoint now);

  // Records that another daemon has `revision` in force.
  void ObserveRevision(std::int64_t revision, TimePoint now);

  // Records that `revision` is in force here and was the newest known to the
  // service, or to a peer that may serve, after `asked_at`.
  void Confirm(std::int64_t revision, TimePoint asked_at);

  Decision Evaluate(TimePoint now);

  // True when the contracts must be reloaded, even if serving continues.
  bool reload_due() const { return resumed_at_ || outdated_since_; }

 private:
  std::chrono::milliseconds freeze_gap_;
  std::chrono::milliseconds grace_;
  std::int64_t confirmed_ = 0;
  std::int64_t newest_known_ = 0;
  std::optional<TimePoint> last_tick_;
  std::optional<TimePoint> resumed_at_;
  std::optional<TimePoint> outdated_since_;
};

}  // namespace comfreyfold

#endif  // CORE_CONTRACT_GUARD_H_
