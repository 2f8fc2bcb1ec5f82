#ifndef SERVER_LANE_OWNER_H_
#define SERVER_LANE_OWNER_H_

#include <chrono>
#include <deque>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "log/event_log.h"
#include "net/loop.h"
#include "server/lane_journal.h"
#include "server/lane_settings.h"

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

// An entry does not fit into a block. Nothing was appended.
class EntryTooLarge : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One lane held by this daemon: replays the journal, takes the lane over,
// and appends blocks of whatever entries wait (group commit).
class LaneOwner : public std::enable_shared_from_this<LaneOwner> {
 public:
  LaneOwner(Loop& loop,
            KvClient& kv,
            EventLog& log,
            const LaneSettings& settings,
            int lane);
  ~LaneOwner();

  // Replays and appends the takeover. Throws LaneLost when another daemon
  // was quicker and KvUnavailable when the service does not answer.
  void Open(Fiber& fiber);

  // Returns once `entries` are known committed and applied to the state.
  // Throws LaneLost, AppendTimeout or EntryTooLarge. After AppendTimeout
  // intents are either not in the journal or withdrawn there as not run;
  // other entries are still appended when the service answers.
  void Append(Fiber& fiber,
              std::vector<LaneEntry> entries,
              std::chrono::milliseconds timeout);

  // Asks the service whether this is still the lane's owner; what it read
  // from its state before is then known to have been the newest. Throws
  // KvUnavailable.
  bool Confirm(Fiber& fiber);

  // Waits for pending appends, then gives the lane up.
  void Handover(Fiber& fiber, std::chrono::milliseconds timeout);

  // True when enough was appended that a snapshot pays.
  bool snapshot_due() const;
  // Throws KvUnavailable.
  void SaveSnapshot(Fiber& fiber);

  const LaneState& state() const { return state_; }
  const LaneSettings& settings() const { return settings_; }
  int lane() const { return lane_; }
  bool lost() const { return lost_; }
  std::int64_t epoch() const { return state_.epoch(); }
  std::int64_t snapshot_block() const { return snapshot_block_; }

 private:
  struct Pending;
  using Group = std::vector<std::shared_ptr<Pending>>;

  LaneBlock MakeBlock(std::vector<LaneEntry> entries, std::int64_t epoch) const;
  void CheckSize(const std::vector<LaneEntry>& entries) const;
  Group TakeGroup();
  void CommitLoop(Fiber& fiber);
  void CommitGroup(Fiber& fiber, const Group& group);
  void Settle(const LaneBlock& block, const Group& group);
  void Withdraw(const Group& group);
  void Lose(const std::string& why);

  Loop& loop_;
  EventLog& log_;
  const LaneSettings& settings_;
  int lane_;
  LaneJournal journal_;
  LaneState state_;
  std::int64_t snapshot_block_ = 0;
  std::int64_t snapshot_bytes_ = 0;
  std::int64_t block_bytes_ = 0;
  bool lost_ = false;
  bool committing_ = false;
  // An intent was given up while its block is in doubt.
  bool in_doubt_ = false;
  std::deque<std::shared_ptr<Pending>> pending_;
  Condition changed_;
};

}  // namespace comfreyfold

#endif  // SERVER_LANE_OWNER_H_
