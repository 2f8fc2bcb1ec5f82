#ifndef SERVER_LANE_MANAGER_H_
#define SERVER_LANE_MANAGER_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/membership.h"
#include "server/lane_owner.h"

namespace comfreyfold {

// Manages the lanes that this daemon owns: takes over lanes that are assigned
// to it, drops lanes that it has lost, and hands all lanes over when it drains.
class LaneManager {
 public:
  LaneManager(Loop& loop,
              KvClient& kv,
              EventLog& log,
              Membership& membership,
              const LaneSettings& settings,
              int lanes,
              HolderClient* holder_client = nullptr);

  // Permits taking lanes; called once the lane count is agreed with the fleet.
  void AllowTaking() { may_take_ = true; }

  // Checks every lane once; called after each round of heartbeats.
  void Tick();

  // Returns the lane's owner object if this daemon owns the lane, else null.
  std::shared_ptr<LaneOwner> Find(int lane) const;
  const std::map<int, std::shared_ptr<LaneOwner>>& owned() const {
    return owned_;
  }
  int lanes() const { return lanes_; }

  // Number of blocks, over all owned lanes, that only the holders have.
  std::size_t blocks_awaiting_upload() const;

  // Hands over every lane; returns false when some are still owned after
  // `timeout`.
  bool HandOverAll(Fiber& fiber, std::chrono::milliseconds timeout);

  // True while `daemon` is live and may still finish the calls that it runs.
  bool IsLive(const std::string& daemon) const;

  // The check is made before a lane is taken from a daemon that did not hand it
  // over.
  void SetOwnerCheck(LaneOwner::OwnerCheck check) {
    owner_check_ = std::move(check);
  }

  // The hook runs after the set of owned lanes has changed.
  void OnChange(std::function<void()> hook) { on_change_ = std::move(hook); }

  // The hook runs after each block that an owned lane has committed and
  // applied.
  void OnApplied(LaneOwner::AppliedHook hook) { on_applied_ = std::move(hook); }

 private:
  void UpdateWriteRate();
  void Take(Fiber& fiber, int lane);
  void OpenLane(Fiber& fiber, LaneOwner& owner);
  void DropLost();
  void TakeDueLanes();
  void RebalanceOneLane();
  void HandOverToPreferred(Fiber& fiber,
                           const std::shared_ptr<LaneOwner>& owner);
  void PublishOwnedLanes();

  Loop& loop_;
  KvClient& kv_;
  EventLog& log_;
  Membership& membership_;
  const LaneSettings& settings_;
  WritePacer pacer_;
  int lanes_;
  HolderClient* holder_client_;
  std::map<int, std::shared_ptr<LaneOwner>> owned_;
  std::set<int> opening_;
  // By lane: when it was first seen that all of its holders are gone.
  std::map<int, std::chrono::steady_clock::time_point> holders_gone_since_;
  std::vector<std::string> eligible_;
  std::chrono::steady_clock::time_point eligible_since_;
  bool rebalancing_ = false;
  bool may_take_ = false;
  LaneOwner::OwnerCheck owner_check_;
  std::function<void()> on_change_;
  LaneOwner::AppliedHook on_applied_;
};

}  // namespace comfreyfold

#endif  // SERVER_LANE_MANAGER_H_
