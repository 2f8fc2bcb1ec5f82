#ifndef SERVER_LANE_OWNER_H_
#define SERVER_LANE_OWNER_H_

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "core/lane_state.h"
#include "core/membership.h"
#include "log/event_log.h"
#include "net/loop.h"
#include "platform/kv_client.h"

namespace comfreyfold {

// Another daemon owns the lane now. What was being appended may or may not
// be in the journal; nothing may be dispatched on the strength of it.
class LaneLost : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// An append was not known committed within its time.
class AppendTimeout : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One lane held by this daemon: replays the journal, takes the lane over,
// and appends blocks of whatever entries wait (group commit).
class LaneOwner : public std::enable_shared_from_this<LaneOwner> {
 public:
  LaneOwner(Loop& loop, KvClient& kv, EventLog& log, int lane);
  ~LaneOwner();

  // Replays and appends the takeover. Throws LaneLost when another daemon
  // was quicker and KvUnavailable when the service does not answer.
  void Open(Fiber& fiber);

  // Returns once `entries` are known committed and applied to the state.
  // Throws LaneLost or AppendTimeout.
  void Append(Fiber& fiber,
              std::vector<LaneEntry> entries,
              std::chrono::milliseconds timeout);

  // Queues `entries` behind what waits already, to be committed whenever the
  // service takes them, if the lane is still owned then.
  void AppendLater(std::vector<LaneEntry> entries);

  // Asks the service whether this is still the lane's owner; what it read
  // from its state before is then known to have been the newest. Throws
  // KvUnavailable.
  bool Confirm(Fiber& fiber);

  // A heartbeat showed a newer owner: without an append of its own this
  // one would not learn of it.
  void Supersede(const LaneOwnerView& newest);

  // Gives the lane up once what is pending is committed. False, and the
  // lane stays, when that took longer than `timeout`.
  bool Handover(Fiber& fiber, std::chrono::milliseconds timeout);

  // Waits until something is committed or the lane is lost.
  void WaitForChange(Fiber& fiber, std::chrono::milliseconds timeout);

  // Runs after each block that this owner has committed and applied.
  using AppliedHook = std::function<void(const LaneOwner&, const LaneBlock&)>;
  void OnApplied(AppliedHook hook) { on_applied_ = std::move(hook); }

  const LaneState& state() const { return state_; }
  int lane() const { return lane_; }
  bool lost() const { return lost_; }
  // Lost by this daemon's own will: what it runs it may still finish.
  bool handed_over() const { return handed_over_; }
  std::int64_t epoch() const { return state_.epoch(); }

 private:
  struct Pending;
  using Group = std::vector<std::shared_ptr<Pending>>;
  static bool IsIntent(const Pending& pending);
  std::shared_ptr<Pending> Enqueue(std::vector<LaneEntry> entries);
  void Wait(Fiber& fiber, Pending& pending, std::chrono::milliseconds timeout);
  Group TakeGroup();
  void CommitGroup(Fiber& fiber, const Group& group);
  void Committed(const LaneBlock& block, const Group& group);
  std::string BlockKey(std::int64_t number) const;
  LaneBlock MakeBlock(std::vector<LaneEntry> entries, std::int64_t epoch) const;
  bool TryCommit(Fiber& fiber, const LaneBlock& block);
  void CommitLoop(Fiber& fiber);
  void Lose(const std::string& why);

  Loop& loop_;
  KvClient& kv_;
  EventLog& log_;
  int lane_;
  LaneState state_;
  bool lost_ = false;
  bool closing_ = false;  // A handover is being written.
  bool handed_over_ = false;
  bool committing_ = false;
  std::deque<std::shared_ptr<Pending>> pending_;
  Condition changed_;
  AppliedHook on_applied_;
};

}  // namespace comfreyfold

#endif  // SERVER_LANE_OWNER_H_
