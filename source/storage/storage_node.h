#ifndef STORAGE_STORAGE_NODE_H_
#define STORAGE_STORAGE_NODE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/room_limits.h"
#include "core/token_ledger.h"
#include "core/turn_index.h"
#include "fleet/decision_log.h"
#include "fleet/fleet_view.h"
#include "net/http_server.h"
#include "storage/disk_log.h"
#include "storage/request_counts.h"
#include "storage/unwritten_records.h"
#include "wire/storage_messages.h"

namespace comfreyfold {

// The storage of one disk: turns, token uses, and the newest known list of
// storage members. Answers the storage requests of other daemons.
class StorageNode {
 public:
  // Reads the content of the disk. Throws std::runtime_error.
  StorageNode(Loop& loop,
              FleetView& view,
              DecisionLog& log,
              const std::string& folder,
              int tolerated_losses,
              std::int64_t disk_bytes,
              std::int64_t memory_bytes);
  ~StorageNode();
  StorageNode(const StorageNode&) = delete;
  StorageNode& operator=(const StorageNode&) = delete;

  // Random id, created and stored when the disk is empty. A disk that was
  // emptied therefore gets a new id.
  const std::string& disk() const { return disk_; }

  // Answers a storage request. The request's path contains the id of the disk
  // that it is meant for.
  void Handle(Fiber& fiber, const HttpRequest& request, HttpExchange& exchange);

  // Takes over `list` if it is newer than the known one. The list is stored on
  // disk before it takes effect: after a restart, the disk must not accept
  // requests of an epoch that it has refused before. Returns whether this or a
  // newer list is in effect, false if the disk has not stored it in time.
  bool Adopt(Fiber& fiber, const StorageList& list);
  // The same without waiting.
  void BeginAdopt(const StorageList& list);
  // Sets a function that is called with the disk of a daemon that announces its
  // stop.
  void OnPeerStop(std::function<void(const std::string& disk)> hook) {
    on_peer_stop_ = std::move(hook);
  }

  // The log, which also replaces further files of the folder.
  DiskLog& disk_log() { return disk_log_; }
  std::int64_t disk_log_bytes() const { return disk_log_.size_bytes(); }

  // Stores records copied from another disk. Returns whether they were synced
  // to this disk in time.
  bool StoreCopied(Fiber& fiber, StorageRequest request);

  // Waits until the disk holds every record that is known at the moment of the
  // call, and has those written again that it refused. Returns false if that
  // takes too long.
  bool AwaitDurable(Fiber& fiber);

  // The turns stored here. Those whose contents are on the disk only have
  // neither input nor output: see ReadTurns().
  const TurnIndex& turns() const { return turns_; }
  // Adds the turns `ids` to `out` with their contents, in this order, as far as
  // `max_bytes` allow, but at least one; unknown turns are left out. Returns
  // how many of `ids` were dealt with, or nullopt if the disk did not return
  // the content of one in time.
  std::optional<std::size_t> ReadTurns(Fiber& fiber,
                                       const std::vector<std::string>& ids,
                                       std::size_t max_bytes,
                                       std::vector<TurnRecord>& out);
  // Returns the turns stored here, at this moment, as digests tell them.
  TurnDigest TurnsByKey();
  // Returns the ids of the turns `keys`, as far as they are stored here.
  std::vector<std::string> IdsOf(const std::vector<TurnKey>& keys);
  // What the log, memory and disk have room for. Removes expired turns where
  // that gives room.
  DiskRoom Room();
  const RoomLimits& room_limits() const { return room_limits_; }
  const TokenLedgers& tokens() const { return tokens_; }

  // Returns the requests received since the last call.
  RequestCounts TakeCounts() { return std::exchange(counts_, {}); }

  // Removes expired turns and token uses, and closed log segments that are no
  // longer needed. Writes again what the disk refused. Begins to free a segment
  // that few turns need if the log is large.
  void Expire();
  // Whether turns are being moved to free a segment.
  bool compacting() const { return compacting_; }

 private:
  struct Write;
  struct Reading;
  enum class EntryKind {
    kStored,
    kMoved,  // Turns that an earlier segment holds as well.
  };

  StorageReply Answer(Fiber& fiber,
                      const StorageRequest& request,
                      const std::string& encoded);
  StorageReply Store(Fiber& fiber,
                     const StorageRequest& request,
                     const std::string& encoded);
  StorageReply AnswerChain(Fiber& fiber, const StorageRequest& request);
  StorageReply AnswerSomeUses(const StorageRequest& request);
  // Programs that `disk` gains in the current change of the list.
  const std::vector<std::string>& ProgramsGainedBy(const std::string& disk);
  StorageReply AnswerDigest(const StorageRequest& request);
  StorageReply AnswerFetch(Fiber& fiber, const StorageRequest& request);
  // The turns stored here, as of at most kMaxDigestAge ago.
  struct KeptDigest;
  const KeptDigest& Digest();
  // Returns the ids of the turns that a kFetch asks for.
  std::vector<std::string> WantedIds(const StorageRequest& request);
  DiskUse Use() const;
  // Whether there is room for the records of a store.
  bool Takes(const StorageRequest& request);
  // Time until there is `room` again, as far as turns take it; 0 if unknown.
  std::chrono::milliseconds RoomIn(DiskRoom room);
  // Tells the room in `reply`.
  void ReportRoom(StorageReply& reply);
  // Reads the log.
  void Replay();
  // Takes over what the entry of the log at `position` contains.
  void Apply(const LogPosition& position, const StorageRequest& request);
  // Reads the contents of `turns` with the indexes `dropped` from `positions`
  // of the log. Returns false if one could not be read in time.
  bool ReadContents(Fiber& fiber,
                    const std::vector<LogPosition>& positions,
                    const std::vector<std::size_t>& dropped,
                    std::vector<TurnRecord>& turns);
  // Drops contents of turns from memory beyond the share that they may use.
  void LimitContents();
  // Writes the uses of the programs that still live and have uses in `segment`
  // to the current segment. Returns whether the disk has all of them there, or
  // there are none.
  bool MoveLivingPrograms(std::int64_t segment);
  // Begins to free the closed segment that the least bytes of turns need, if
  // the log is large and less than half of the segment is needed.
  void Compact();
  // Writes the turns of the segment to the current one.
  void MoveTurns(Fiber& fiber, std::int64_t segment);
  // Begins to write again what the disk refused, unless that is under way.
  void WriteAgain();
  // Returns those of `ids` that the disk does not hold, or not as long as it
  // should.
  std::vector<std::string> UnwrittenOf(
      const std::vector<std::string>& ids) const;
  // Applies `request` and queues it for writing; `encoded` is its encoding.
  std::shared_ptr<Write> BeginWrite(const StorageRequest& request,
                                    const std::string& encoded,
                                    WriteKind kind);
  // Takes over that writing the entry at `position` of the log has ended.
  void EndEntry(const LogPosition& position,
                const UnwrittenRecords::Summary& summary,
                EntryKind kind,
                bool written);
  // Appends an entry to the log that `write` waits for.
  void AppendTo(const std::shared_ptr<Write>& write,
                const StorageRequest& request,
                const std::string& encoded,
                WriteKind write_kind,
                EntryKind kind = EntryKind::kStored);
  // Waits for `write`. Returns whether it was synced to disk within a time
  // limit.
  static bool AwaitWrite(Fiber& fiber,
                         const std::shared_ptr<Write>& write,
                         std::chrono::milliseconds timeout);
  // Stores `list`, unless a list that is at least as new is being stored, and
  // then applies it. Returns the write to wait for.
  std::shared_ptr<Write> StoreList(const StorageList& list);

  Loop& loop_;
  FleetView& view_;
  DecisionLog& log_;
  std::string folder_;
  int tolerated_losses_;
  RoomLimits room_limits_;
  // When turns of each kind have room, as of `estimated_at`.
  struct RoomEstimate {
    std::chrono::milliseconds room_at{0};
    std::chrono::milliseconds estimated_at{0};
  };
  std::map<DiskRoom, RoomEstimate> room_estimates_;
  std::string disk_;
  std::function<void(const std::string&)> on_peer_stop_;
  RequestCounts counts_;
  DiskLog disk_log_;
  TurnIndex turns_;
  TokenLedgers tokens_;
  // All disks that copy ask for the same digest.
  std::shared_ptr<KeptDigest> digest_;
  // Programs that each disk gains in the change with epoch `gained_epoch_`,
  // sorted by name.
  std::map<std::string, std::vector<std::string>> gained_;
  std::int64_t gained_epoch_ = 0;
  UnwrittenRecords unwritten_;
  // Null once this object is gone; writes under way may end later.
  std::shared_ptr<StorageNode*> self_;
  std::map<WriteKind, std::shared_ptr<Write>> last_writes_;
  // The latest write of records that the disk had refused.
  std::shared_ptr<Write> second_write_;
  // The latest write of a list, and the version of that list.
  std::shared_ptr<Write> list_write_;
  std::int64_t list_write_version_ = 0;
  bool compacting_ = false;
  // Time until which each segment is needed for records other than turns.
  std::map<std::int64_t, std::chrono::milliseconds> needed_until_;
  // Programs with uses in each segment.
  std::map<std::int64_t, std::set<std::string>> programs_in_segment_;
  // Writes that free segments of the uses that are still needed.
  std::map<std::int64_t, std::shared_ptr<Write>> moves_;
};

}  // namespace comfreyfold

#endif  // STORAGE_STORAGE_NODE_H_
