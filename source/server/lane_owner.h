#ifndef SERVER_LANE_OWNER_H_
#define SERVER_LANE_OWNER_H_

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "core/lane_state.h"
#include "core/membership.h"
#include "core/write_pacer.h"
#include "log/event_log.h"
#include "net/loop.h"
#include "server/lane_journal.h"
#include "server/lane_settings.h"
#include "server/lane_spool.h"
#include "server/shared_check.h"

namespace comfreyfold {

// Another daemon owns the lane now. What was being appended may or may not
// be in the journal; nothing may be dispatched on the strength of it.
class LaneLost : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// An append was not known committed within its time, or must wait for the
// key-value service.
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
// and appends blocks of whatever entries wait (group commit). While the
// service is out its holders keep the blocks, and no intent that must not run
// twice is taken.
class LaneOwner : public std::enable_shared_from_this<LaneOwner> {
 public:
  LaneOwner(Loop& loop,
            KvClient& kv,
            EventLog& log,
            const LaneSettings& settings,
            WritePacer& pacer,
            int lane,
            HolderLinks* holders = nullptr);
  ~LaneOwner();

  // True when the daemon still holds the lane in that epoch, as it says.
  using OwnerCheck = std::function<
      bool(Fiber& fiber, const std::string& daemon, const OwnedLane& lane)>;

  // What Open does when no holder of the lane can be reached.
  enum class WithoutHolders { kRefuse, kTakeOver };

  // Replays, puts into the service what the lane's holders have, and appends
  // the takeover. Throws LaneLost when another daemon was quicker, or holds
  // the lane by the journal and by `still_owns`, KvUnavailable when the service
  // does not answer, and HoldersUnreachable.
  void Open(Fiber& fiber,
            const OwnerCheck& still_owns = {},
            WithoutHolders without_holders = WithoutHolders::kRefuse);

  // Names other holders when one has been gone for a while.
  void ReviewHolders(TimePoint now);

  // Returns once `entries` are known committed and applied to the state.
  // Throws LaneLost, AppendTimeout or EntryTooLarge. After AppendTimeout an
  // intent is either not in the journal or recorded there as not run; other
  // entries are still appended when the service answers.
  void Append(Fiber& fiber,
              std::vector<LaneEntry> entries,
              std::chrono::milliseconds timeout);

  // Asks the service whether this is still the lane's owner; what it read
  // from its state before is then known to have been the newest. Callers
  // share the reads, however many ask: one that began at `since` or later
  // will do. Throws KvUnavailable.
  bool ConfirmOwnership(Fiber& fiber,
                        TimePoint since = std::chrono::steady_clock::now());

  // A heartbeat showed a newer owner: without an append of its own this
  // one would not learn of it.
  void Supersede(const LaneOwnerView& newest);

  // Gives the lane up once what is pending is committed. False, and the
  // lane stays, when that took longer than `timeout`.
  bool Handover(Fiber& fiber, std::chrono::milliseconds timeout);

  // The outcome of the program's open call that waits to be committed; null:
  // none does. Valid until the next wait.
  const LaneEntry* PendingOutcome(const ProgramKey& program) const;

  // Waits until something is committed or the lane is lost.
  void WaitForChange(Fiber& fiber, std::chrono::milliseconds timeout);

  // Runs after each block that this owner has committed and applied.
  using AppliedHook = std::function<void(const LaneOwner&, const LaneBlock&)>;
  void OnApplied(AppliedHook hook) { on_applied_ = std::move(hook); }

  // True when enough was appended that a snapshot pays.
  bool snapshot_due() const;
  // Throws KvUnavailable.
  void SaveSnapshot(Fiber& fiber);

  const LaneState& state() const { return state_; }
  const LaneSettings& settings() const { return settings_; }
  std::int64_t snapshot_block() const { return snapshot_block_; }
  int lane() const { return lane_; }
  bool lost() const { return lost_; }
  // Blocks that only the holders have.
  std::size_t blocks_awaiting_upload() const { return spool_.size(); }
  // Lost by this daemon's own will: what it runs it may still finish.
  bool handed_over() const { return handed_over_; }
  std::int64_t epoch() const { return state_.epoch(); }

 private:
  struct Pending;
  using Group = std::vector<std::shared_ptr<Pending>>;
  std::shared_ptr<Pending> Enqueue(std::vector<LaneEntry> entries);
  void Wait(Fiber& fiber, Pending& pending, std::chrono::milliseconds timeout);
  void ConfirmBeside(TimePoint since);
  void Withdraw(const std::vector<LaneEntry>& entries);
  Group TakeGroup();
  void CommitGroup(Fiber& fiber, const Group& group);
  enum class CommitResult { kInService, kAtHolders, kAnotherThere, kNoAnswer };
  CommitResult TryCommit(Fiber& fiber, const LaneBlock& block);
  void Committed(const LaneBlock& block, const Group& group);
  void WaitAtHolders(const LaneBlock& block, const Group& group);
  void ApplyOwn(const LaneBlock& block);
  void RefuseWhileOut();
  void AwaitUploads(Fiber& fiber);
  void UploadLoop(Fiber& fiber);
  void Uploaded(int blocks);
  void RecoverFromHolders(Fiber& fiber, WithoutHolders without_holders);
  void ForgetAt(const std::vector<SpoolHolder>& holders, std::int64_t number);
  void NameHolders(Fiber& fiber);
  bool HoldersAreThere() const;
  // Names the holders that should be; with none when there are too few.
  LaneEntry MakeHolders() const;
  LaneBlock MakeTakeover() const;
  LaneBlock MakeBlock(std::vector<LaneEntry> entries, std::int64_t epoch) const;
  bool ReadNextBlock(Fiber& fiber);
  // True when the service has just answered that the lane is still owned.
  bool ServiceAnswers(Fiber& fiber);
  void LoseTo(const std::optional<LaneBlock>& next);
  void CheckSize(const std::vector<LaneEntry>& entries) const;
  void CommitLoop(Fiber& fiber);
  void Lose(const std::string& why);

  Loop& loop_;
  EventLog& log_;
  const LaneSettings& settings_;
  WritePacer& pacer_;
  int lane_;
  LaneJournal journal_;
  HolderLinks* holders_;
  LaneSpool spool_;
  LaneState state_;
  std::int64_t snapshot_block_ = 0;
  std::int64_t snapshot_bytes_ = 0;
  std::int64_t block_bytes_ = 0;  // Of the blocks after the snapshot.
  bool lost_ = false;
  bool closing_ = false;  // A handover is being written.
  bool handed_over_ = false;
  bool committing_ = false;
  // An intent was given up while the service was silent.
  bool in_doubt_ = false;
  bool uploading_ = false;
  bool service_answers_ = false;  // The last upload came through.
  int uploads_since_commit_ = 0;  // Since the last block went to holders.
  bool naming_ = false;           // New holders are being named.
  std::optional<TimePoint> amiss_since_;  // Holders are missing.
  std::deque<std::shared_ptr<Pending>> pending_;
  Group in_commit_;  // In the block that is being written.
  Condition changed_;
  SharedCheck confirm_;
  AppliedHook on_applied_;
};

}  // namespace comfreyfold

#endif  // SERVER_LANE_OWNER_H_
