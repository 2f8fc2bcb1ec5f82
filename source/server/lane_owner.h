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

// Thrown when another daemon owns the lane. The entries of the failed append
// may or may not be in the journal, so nothing may be dispatched for them.
class LaneLost : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Thrown when an append was not confirmed as committed before its timeout, or
// when it requires the key-value service and the service is unavailable.
class AppendTimeout : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Thrown when the entries of an append exceed the size of a block. Nothing was
// appended.
class EntryTooLarge : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Owns one lane on behalf of this daemon. It replays the lane's journal, takes
// the lane over, and appends all queued entries as one block (group commit).
// While the key-value service is unavailable, blocks are committed to the
// lane's holders instead, and intents of calls that must not run twice are
// refused.
class LaneOwner : public std::enable_shared_from_this<LaneOwner> {
 public:
  LaneOwner(Loop& loop,
            KvClient& kv,
            EventLog& log,
            const LaneSettings& settings,
            WritePacer& pacer,
            int lane,
            HolderClient* holder_client = nullptr);
  ~LaneOwner();

  // Asks `daemon` whether it still owns `lane` in that epoch; returns its
  // answer.
  using OwnerCheck = std::function<
      bool(Fiber& fiber, const std::string& daemon, const OwnedLane& lane)>;

  // What Open does when none of the lane's holders can be reached.
  enum class WithoutHolders { kRefuse, kTakeOver };

  // Replays the journal, uploads the blocks that only the lane's holders have,
  // and appends the takeover block. Throws LaneLost when another daemon took
  // the lane first, or when the journal names another owner and `still_owns`
  // confirms it. Throws KvUnavailable when the service does not answer, and
  // HoldersUnreachable.
  void Open(Fiber& fiber,
            const OwnerCheck& still_owns = {},
            WithoutHolders without_holders = WithoutHolders::kRefuse);

  // Assigns other holders once one of the current holders has been unavailable
  // for some seconds.
  void ReviewHolders(TimePoint now);

  // Returns once `entries` are known to be committed and have been applied to
  // the state. Throws LaneLost, AppendTimeout or EntryTooLarge. After
  // AppendTimeout, an intent is either absent from the journal or recorded
  // there as not run; entries of other kinds are still appended once the
  // service answers.
  void Append(Fiber& fiber,
              std::vector<LaneEntry> entries,
              std::chrono::milliseconds timeout);

  // Reads from the service whether this daemon still owns the lane. If it
  // does, everything read from state() before was up to date. Concurrent
  // callers share one read: a read that began at `since` or later is reused.
  // Throws KvUnavailable.
  bool ConfirmOwnership(Fiber& fiber,
                        TimePoint since = std::chrono::steady_clock::now());

  // Marks the lane as lost because a heartbeat announced a newer owner. An
  // owner that appends nothing would not notice the takeover otherwise.
  void Supersede(const LaneOwnerView& newest);

  // Releases the lane after committing all pending entries. Returns false and
  // keeps the lane when that takes longer than `timeout`.
  bool Handover(Fiber& fiber, std::chrono::milliseconds timeout);

  // Returns the outcome of the program's open call that is queued for commit,
  // or null when there is none. The pointer is valid until the fiber next
  // waits.
  const LaneEntry* PendingOutcome(const ProgramKey& program) const;

  // Waits until entries are committed or refused, the lane is lost, or
  // `timeout` has passed.
  void WaitForChange(Fiber& fiber, std::chrono::milliseconds timeout);

  // The hook runs after each block that this owner has committed and applied.
  using AppliedHook = std::function<void(const LaneOwner&, const LaneBlock&)>;
  void OnApplied(AppliedHook hook) { on_applied_ = std::move(hook); }

  // True when enough has been appended since the last snapshot to justify a
  // new one.
  bool snapshot_due() const;
  // Throws KvUnavailable.
  void SaveSnapshot(Fiber& fiber);

  const LaneState& state() const { return state_; }
  const LaneSettings& settings() const { return settings_; }
  std::int64_t snapshot_block() const { return snapshot_block_; }
  int lane() const { return lane_; }
  bool lost() const { return lost_; }
  // Number of blocks that only the holders have.
  std::size_t blocks_awaiting_upload() const { return spool_.size(); }
  // True when the lane was lost by a handover, in which case this daemon may
  // finish the calls it is still running.
  bool handed_over() const { return handed_over_; }
  std::int64_t epoch() const { return state_.epoch(); }

 private:
  struct Pending;
  using Group = std::vector<std::shared_ptr<Pending>>;
  std::shared_ptr<Pending> Enqueue(std::vector<LaneEntry> entries);
  void Wait(Fiber& fiber, Pending& pending, std::chrono::milliseconds timeout);
  void ConfirmInBackground(TimePoint since);
  void Withdraw(const std::vector<LaneEntry>& entries);
  Group TakeGroup();
  void CommitGroup(Fiber& fiber, const Group& group);
  enum class CommitResult { kInService, kAtHolders, kConflict, kNoAnswer };
  CommitResult TryCommit(Fiber& fiber, const LaneBlock& block);
  void CommittedInService(const LaneBlock& block, const Group& group);
  void CommittedAtHolders(const LaneBlock& block, const Group& group);
  void ApplyOwn(const LaneBlock& block);
  void RefuseServiceOnlyEntries();
  void AwaitUploads(Fiber& fiber);
  void UploadLoop(Fiber& fiber);
  void LogUploaded(int blocks);
  void RecoverFromHolders(Fiber& fiber, WithoutHolders without_holders);
  void ForgetAtHolders(const std::vector<SpoolHolder>& holders,
                       std::int64_t number);
  void AssignHolders(Fiber& fiber);
  bool AllHoldersAvailable() const;
  // An entry that names the best holders at present; its list is empty when
  // there are too few candidates.
  LaneEntry MakeHoldersEntry() const;
  LaneBlock MakeTakeover() const;
  LaneBlock MakeBlock(std::vector<LaneEntry> entries, std::int64_t epoch) const;
  bool ReadNextBlock(Fiber& fiber);
  // True when the service answers and confirms that this daemon owns the lane.
  bool ServiceConfirmsOwnership(Fiber& fiber);
  void LoseIfTakenOver(const std::optional<LaneBlock>& next);
  void CheckSize(const std::vector<LaneEntry>& entries) const;
  void CommitLoop(Fiber& fiber);
  void MarkLost(const std::string& why);

  Loop& loop_;
  EventLog& log_;
  const LaneSettings& settings_;
  WritePacer& pacer_;
  int lane_;
  LaneJournal journal_;
  HolderClient* holder_client_;
  LaneSpool spool_;
  LaneState state_;
  std::int64_t snapshot_block_ = 0;
  std::int64_t snapshot_bytes_ = 0;
  std::int64_t block_bytes_ = 0;  // Total size of blocks after the snapshot.
  bool lost_ = false;
  bool handing_over_ = false;
  bool handed_over_ = false;
  bool committing_ = false;
  // An intent timed out and it is unknown whether its block was committed.
  bool in_doubt_ = false;
  bool uploading_ = false;
  bool last_upload_succeeded_ = false;
  int uploads_since_spooled_ = 0;  // Since a block was last stored at holders.
  bool assigning_holders_ = false;
  std::optional<TimePoint> holders_missing_since_;
  std::deque<std::shared_ptr<Pending>> pending_;
  Group in_commit_;  // The entries of the block that is being written.
  Condition changed_;
  SharedCheck confirm_;
  AppliedHook on_applied_;
};

}  // namespace comfreyfold

#endif  // SERVER_LANE_OWNER_H_
