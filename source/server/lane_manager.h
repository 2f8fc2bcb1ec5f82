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

// The lanes this daemon owns: takes those that fall to it, drops those it
// lost, and hands all over when it drains.
class LaneManager {
 public:
  LaneManager(Loop& loop,
              KvClient& kv,
              EventLog& log,
              Membership& membership,
              const LaneSettings& settings,
              int lanes,
              HolderLinks* holders = nullptr);

  // Allows taking lanes, once their number is agreed with the fleet.
  void AllowTaking() { open_ = true; }

  // Looks once at every lane; called after each round of heartbeats.
  void Tick();

  // The lane's owner object if this daemon holds it, else null.
  std::shared_ptr<LaneOwner> Find(int lane) const;
  const std::map<int, std::shared_ptr<LaneOwner>>& owned() const {
    return owned_;
  }
  int lanes() const { return lanes_; }

  // Blocks of the lanes owned here that only their holders have.
  std::size_t blocks_awaiting_upload() const;

  // Gives every lane up; false when some could not be within `timeout`.
  bool HandOverAll(Fiber& fiber, std::chrono::milliseconds timeout);

  // True while `daemon` may still finish what it runs.
  bool IsLive(const std::string& daemon) const;

  // Asked before a lane is taken from a daemon that did not hand it over.
  void SetOwnerCheck(LaneOwner::OwnerCheck check) {
    still_owns_ = std::move(check);
  }

  // Runs after the set of owned lanes has changed.
  void OnChange(std::function<void()> hook) { on_change_ = std::move(hook); }

  // Runs after each block that a lane owned here has applied.
  void OnApplied(LaneOwner::AppliedHook hook) { on_applied_ = std::move(hook); }

 private:
  void ShareWrites();
  void Take(Fiber& fiber, int lane);
  void Open(Fiber& fiber, LaneOwner& owner);
  void DropLost();
  void TakeDue();
  void GiveUpOne();
  void GiveUp(Fiber& fiber, const std::shared_ptr<LaneOwner>& owner);
  void Publish();

  Loop& loop_;
  KvClient& kv_;
  EventLog& log_;
  Membership& membership_;
  const LaneSettings& settings_;
  WritePacer pacer_;
  int lanes_;
  HolderLinks* holders_;
  std::map<int, std::shared_ptr<LaneOwner>> owned_;
  std::set<int> opening_;
  // Lanes whose holders have all left, since when.
  std::map<int, std::chrono::steady_clock::time_point> without_holders_;
  std::vector<std::string> eligible_;
  std::chrono::steady_clock::time_point eligible_since_;
  bool giving_up_ = false;
  bool open_ = false;
  LaneOwner::OwnerCheck still_owns_;
  std::function<void()> on_change_;
  LaneOwner::AppliedHook on_applied_;
};

}  // namespace comfreyfold

#endif  // SERVER_LANE_MANAGER_H_
