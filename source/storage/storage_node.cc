#include "storage/storage_node.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "clients/base64.h"
#include "core/wall_clock.h"
#include "storage/replica_client.h"
#include "wire/codec.h"

namespace comfreyfold {

namespace {

constexpr const char* kDiskFile = "disk";
constexpr const char* kListFile = "members";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
// A write that is not synced in time is reported as failed. It may still reach
// the disk later, which is harmless. A turn has run when it is stored, so that
// its daemon decides how long to wait for it.
constexpr std::chrono::milliseconds kSyncTimeout{1500};
constexpr std::chrono::milliseconds kMaxTurnStoreTime{10000};
// Bytes of turns that are moved within the log in one step.
constexpr std::size_t kMaxMovedBytes = 256 * 1024;

std::string ReadOrCreateDiskId(const std::string& folder) {
  auto disk = ReadWholeFile(folder + "/" + kDiskFile);
  if (disk.empty()) {
    disk = RandomId();
    WriteFileDurably(folder, kDiskFile, disk);
  }
  return disk;
}

// Whether a request is of no use once its sender has given up. A turn that has
// run, a settlement or a list is.
bool IsForSenderOnly(const StorageRequest& request) {
  if (request.operation == StorageOperation::kStore) {
    return request.turns.empty() && !request.program.empty();
  }
  return !request.members;
}

}  // namespace

StorageNode::StorageNode(Loop& loop,
                         FleetView& view,
                         DecisionLog& log,
                         const std::string& folder,
                         int tolerated_losses,
                         std::int64_t disk_bytes,
                         std::int64_t memory_bytes)
    : loop_(loop),
      view_(view),
      log_(log),
      folder_(folder),
      tolerated_losses_(tolerated_losses),
      room_limits_(memory_bytes, disk_bytes),
      disk_(ReadOrCreateDiskId(folder)),
      disk_log_(loop, folder),
      self_(std::make_shared<StorageNode*>(this)) {
  const auto list = ReadWholeFile(folder + "/" + kListFile);
  if (!list.empty()) {
    view_.ApplyStorageList(DecodeStorageList(list));
  }
  Replay();
}

// A turn may stand after an entry that extends its expiry: they may be of
// different kinds.
void StorageNode::Replay() {
  std::int64_t entries = 0;
  std::map<std::string, std::chrono::milliseconds> extended;
  disk_log_.Replay([&](const LogPosition& position, const std::string& entry) {
    ++entries;
    const auto request = DecodeStorageRequest(entry);
    for (const auto& it : turns_.Missing(request.ids)) {
      extended[it] = std::max(extended[it], request.keep_until);
    }
    Apply(position, request);
    for (const auto& it : request.turns) {
      turns_.MarkStored(it.id, position);
    }
    LimitContents();
  });
  for (const auto& [id, until] : extended) {
    turns_.ExtendExpiry({id}, until);
  }
  // Those without a readable entry are to be removed too.
  for (const auto it : disk_log_.ClosedSegments()) {
    needed_until_.try_emplace(it, 0);
  }
  log_.Write("disk_read", "",
             {{"disk", disk_},
              {"entries", entries},
              {"turns", static_cast<int>(turns_.size())},
              {"programs", static_cast<int>(tokens_.size())},
              {"list_version", view_.storage_list().version}});
}

StorageNode::~StorageNode() {
  *self_ = nullptr;
}

// Records that are known already count for the segment as well: the earlier
// write may have failed, or say an earlier expiry.
void StorageNode::Apply(const LogPosition& position,
                        const StorageRequest& request) {
  const auto segment = position.segment;
  auto& needed = needed_until_[segment];
  for (const auto& it : request.turns) {
    if (!turns_.Put(it, segment)) {
      needed = std::max(needed, it.expires_at);
    }
  }
  turns_.ExtendExpiry(request.ids, request.keep_until);
  needed = std::max(needed, request.keep_until);
  tokens_.Merge(request.uses);
  for (const auto& it : request.uses) {
    needed = std::max(needed, it.expires_at);
    programs_in_segment_[segment].insert(it.program);
  }
}

void StorageNode::LimitContents() {
  if (room_limits_.content_bytes() > 0) {
    turns_.DropContents(static_cast<std::size_t>(room_limits_.content_bytes()));
  }
}

// State of one write to the disk, shared with its completion callbacks.
struct StorageNode::Write {
  explicit Write(Loop& loop) : changed(loop) {}
  Condition changed;
  int entries = 0;  // Of the log, not ended.
  bool failed = false;
  bool ended = false;
  bool durable = false;

  void End(bool written) {
    failed = failed || !written;
    ended = --entries <= 0;
    durable = ended && !failed;
    changed.NotifyAll();
  }
};

bool StorageNode::Adopt(Fiber& fiber, const StorageList& list) {
  if (list.version > view_.storage_list().version) {
    AwaitWrite(fiber, StoreList(list), kSyncTimeout);
  }
  return list.version <= view_.storage_list().version;
}

void StorageNode::BeginAdopt(const StorageList& list) {
  if (list.version > view_.storage_list().version) {
    StoreList(list);
  }
}

std::shared_ptr<StorageNode::Write> StorageNode::StoreList(
    const StorageList& list) {
  if (list_write_ && !list_write_->ended &&
      list_write_version_ >= list.version) {
    return list_write_;
  }
  list_write_ = std::make_shared<Write>(loop_);
  list_write_version_ = list.version;
  disk_log_.ReplaceFile(kListFile, Encode(list),
                        [this, list, write = list_write_](bool replaced) {
                          if (replaced) {
                            view_.ApplyStorageList(list);
                          } else {
                            log_.Write(
                                "list_not_stored", "",
                                {{"list_version", list.version},
                                 {"reason", "the disk refused the write"}});
                          }
                          write->End(replaced);
                        });
  return list_write_;
}

void StorageNode::Handle(Fiber& fiber,
                         const HttpRequest& request,
                         HttpExchange& exchange) {
  StorageRequest decoded;
  try {
    decoded = DecodeStorageRequest(request.body);
  } catch (const WireError& e) {
    log_.Write("storage_request_refused", "", {{"reason", e.what()}});
    exchange.Reply(kBadRequest, "text/plain", e.what());
    return;
  }
  counts_.Add(decoded);
  if (IsForSenderOnly(decoded) && exchange.PeerGone()) {
    ++counts_.abandoned;
    return;
  }
  StorageReply reply;
  if (request.Path() != kStoragePath + disk_) {
    reply.status = StorageStatus::kOtherDisk;
    reply.members = view_.storage_list();
  } else {
    reply = Answer(fiber, decoded, request.body);
    ReportRoom(reply);
  }
  const auto body = Encode(reply);
  // The peer may read slowly.
  reply = {};
  decoded = {};
  exchange.Reply(kOk, "", body);
}

StorageReply StorageNode::Answer(Fiber& fiber,
                                 const StorageRequest& request,
                                 const std::string& encoded) {
  StorageReply reply;
  if (request.members && !Adopt(fiber, *request.members)) {
    reply.status = StorageStatus::kFailed;
    return reply;
  }
  const auto& list = view_.storage_list();
  if (request.epoch != 0 && request.epoch < list.epoch) {
    reply.status = StorageStatus::kOldEpoch;
    reply.members = list;
    return reply;
  }
  if (request.epoch > list.epoch) {
    reply.status = StorageStatus::kNewEpoch;
    return reply;
  }
  switch (request.operation) {
    case StorageOperation::kStore:
      reply = Store(fiber, request, encoded);
      break;
    case StorageOperation::kChain:
      reply = AnswerChain(fiber, request);
      break;
    case StorageOperation::kUses:
      reply.uses = tokens_.ForProgram(request.program);
      break;
    case StorageOperation::kDigest:
      reply = AnswerDigest(request);
      break;
    case StorageOperation::kFetch:
      reply = AnswerFetch(fiber, request);
      break;
    case StorageOperation::kSomeUses:
      reply = AnswerSomeUses(request);
      break;
    case StorageOperation::kAdopt:
      break;
    case StorageOperation::kStopping:
      if (on_peer_stop_ && !request.ids.empty()) {
        on_peer_stop_(request.ids.front());
      }
      break;
  }
  // During a change of the list, a disk that joins has the records written
  // since the change began, and the disks of the old set have the earlier ones.
  reply.whole = list.IsMember(disk_) || list.IsNextMember(disk_);
  return reply;
}

std::shared_ptr<StorageNode::Write> StorageNode::BeginWrite(
    const StorageRequest& request,
    const std::string& encoded,
    WriteKind kind) {
  auto write = std::make_shared<Write>(loop_);
  last_writes_[kind] = write;
  if (request.turns.size() <= 1) {
    AppendTo(write, request, encoded, kind);
    return write;
  }
  // Each turn can be read alone then.
  for (const auto& it : request.turns) {
    StorageRequest part;
    part.turns = {it};
    AppendTo(write, part, Encode(part), kind);
  }
  if (!request.uses.empty() || !request.ids.empty()) {
    auto rest = request;
    rest.turns.clear();
    AppendTo(write, rest, Encode(rest), kind);
  }
  return write;
}

void StorageNode::AppendTo(const std::shared_ptr<Write>& write,
                           const StorageRequest& request,
                           const std::string& encoded,
                           WriteKind write_kind,
                           EntryKind kind) {
  ++write->entries;
  auto position = std::make_shared<LogPosition>();
  *position = disk_log_.Append(
      encoded,
      [write, position, kind, self = self_,
       summary = UnwrittenRecords::SummaryOf(request)](bool written) {
        if (auto* node = *self) {
          node->EndEntry(*position, summary, kind, written);
        }
        write->End(written);
      },
      write_kind);
  if (kind == EntryKind::kMoved) {
    // The turns count for this segment once they are in it.
    needed_until_.try_emplace(position->segment, 0);
    return;
  }
  // Other requests may see the records before they are synced, which is safe.
  Apply(*position, request);
}

void StorageNode::EndEntry(const LogPosition& position,
                           const UnwrittenRecords::Summary& summary,
                           EntryKind kind,
                           bool written) {
  if (!written) {
    if (kind != EntryKind::kMoved) {
      unwritten_.Add(summary);
    }
    return;
  }
  for (const auto& [id, expires_at] : summary.turns) {
    if (kind == EntryKind::kMoved) {
      turns_.Move(id, position);
    }
    turns_.MarkStored(id, position);
  }
  unwritten_.Remove(summary, turns_);
  LimitContents();
}

bool StorageNode::AwaitWrite(Fiber& fiber,
                             const std::shared_ptr<Write>& write,
                             std::chrono::milliseconds timeout) {
  write->changed.WaitUntil(fiber, timeout, [write] { return write->ended; });
  return write->durable;
}

// Readers may see these records, and other disks count them, so that they must
// not stay in memory alone.
void StorageNode::WriteAgain() {
  unwritten_.DropExpired(turns_, tokens_);
  if (unwritten_.empty() || (second_write_ && !second_write_->ended)) {
    return;
  }
  const auto request = unwritten_.NextStore(turns_);
  second_write_ = BeginWrite(request, Encode(request), WriteKind::kBackground);
}

std::vector<std::string> StorageNode::UnwrittenOf(
    const std::vector<std::string>& ids) const {
  std::vector<std::string> out;
  std::copy_if(ids.begin(), ids.end(), std::back_inserter(out),
               [this](const std::string& it) {
                 return unwritten_.HasTurn(it) || !turns_.IsStored(it);
               });
  return out;
}

StorageReply StorageNode::Store(Fiber& fiber,
                                const StorageRequest& request,
                                const std::string& encoded) {
  StorageReply reply;
  if (!Takes(request)) {
    const auto use = Use();
    log_.Write("store_refused", "",
               {{"reason", "write backlog, memory or disk limit reached"},
                {"turn_bytes", use.turn_bytes},
                {"memory_bytes", use.memory_bytes},
                {"log_bytes", use.log_bytes},
                {"backlog", static_cast<int>(disk_log_.backlog())}});
    reply.status = StorageStatus::kFailed;
    return reply;
  }
  const auto write = BeginWrite(request, encoded, WriteKind::kForeground);
  if (!request.program.empty()) {
    // Read before waiting for the disk: TokenQuorum relies on the uses as of
    // the moment of the store. Reservations that arrive during the wait see
    // this one.
    reply.uses = tokens_.ForProgram(request.program);
  }
  // Turns that arrive during the wait may be synced after this write only.
  reply.ids = turns_.Missing(request.ids);
  const bool stored = AwaitWrite(
      fiber, write, request.turns.empty() ? kSyncTimeout : kMaxTurnStoreTime);
  // A copy that this disk has begun to write may not be synced yet.
  for (const auto& it : UnwrittenOf(request.ids)) {
    reply.ids.push_back(it);
  }
  std::sort(reply.ids.begin(), reply.ids.end());
  reply.ids.erase(std::unique(reply.ids.begin(), reply.ids.end()),
                  reply.ids.end());
  if (!stored) {
    log_.Write("store_failed", "",
               {{"reason", "write to disk failed or took too long"}});
    reply.status = StorageStatus::kFailed;
  }
  return reply;
}

// Several disks return the same uses. AwaitDurable() waits for those that are
// known already.
bool StorageNode::StoreCopied(Fiber& fiber, StorageRequest request) {
  request.operation = StorageOperation::kStore;
  request.uses = tokens_.Merge(request.uses);
  if (request.uses.empty() && request.turns.empty()) {
    return true;
  }
  return AwaitWrite(
      fiber, BeginWrite(request, Encode(request), WriteKind::kBackground),
      kSyncTimeout);
}

// Writes of one kind end in the order in which they began.
bool StorageNode::AwaitDurable(Fiber& fiber) {
  const auto writes = last_writes_;
  for (const auto& [kind, last] : writes) {
    if (!AwaitWrite(fiber, last, kSyncTimeout) && !last->ended) {
      return false;
    }
  }
  for (WriteAgain(); !unwritten_.empty(); WriteAgain()) {
    const auto write = second_write_;
    if (!AwaitWrite(fiber, write, kSyncTimeout)) {
      return false;
    }
  }
  return true;
}

// A program's uses count until the last of them expires, which may be in a much
// later segment.
bool StorageNode::MoveLivingPrograms(std::int64_t segment) {
  const auto move = moves_.find(segment);
  if (move != moves_.end()) {
    if (!move->second->ended) {
      return false;
    }
    if (move->second->durable) {
      return true;
    }
    moves_.erase(move);
  }
  StorageRequest request;
  request.operation = StorageOperation::kStore;
  for (const auto& program : programs_in_segment_[segment]) {
    for (auto& use : tokens_.ForProgram(program)) {
      request.uses.push_back(std::move(use));
    }
  }
  if (request.uses.empty()) {
    return true;
  }
  moves_[segment] =
      BeginWrite(request, Encode(request), WriteKind::kBackground);
  return false;
}

// Turns of long chains would keep the segments of all that was stored with
// them, until the log takes the whole disk.
void StorageNode::Compact() {
  const auto limit = room_limits_.compaction_bytes();
  if (compacting_ || limit == 0 || disk_log_.size_bytes() < limit) {
    return;
  }
  std::int64_t segment = 0;
  std::int64_t least = 0;
  for (const auto& [it, bytes] : turns_.StoredBytesBySegment()) {
    if (disk_log_.IsWritten(it) && bytes <= disk_log_.SegmentBytes(it) / 2 &&
        (segment == 0 || bytes < least)) {
      segment = it;
      least = bytes;
    }
  }
  if (segment == 0) {
    return;
  }
  compacting_ = true;
  loop_.Spawn([this, self = self_, segment](Fiber& fiber) {
    MoveTurns(fiber, segment);
    if (*self != nullptr) {
      compacting_ = false;
    }
  });
}

void StorageNode::MoveTurns(Fiber& fiber, std::int64_t segment) {
  const auto self = self_;
  auto left = turns_.StoredIn(segment);
  while (*self != nullptr && !left.empty()) {
    std::vector<TurnRecord> turns;
    const auto read = ReadTurns(fiber, left, kMaxMovedBytes, turns);
    if (!read || *self == nullptr) {
      return;
    }
    const auto write = std::make_shared<Write>(loop_);
    for (auto& it : turns) {
      // Extended meanwhile, by an entry that is replayed before this one.
      const auto* known = turns_.Find(it.id);
      if (known == nullptr) {
        continue;
      }
      StorageRequest request;
      it.expires_at = known->expires_at;
      request.turns = {std::move(it)};
      AppendTo(write, request, Encode(request), WriteKind::kBackground,
               EntryKind::kMoved);
    }
    if (write->entries > 0 && !AwaitWrite(fiber, write, kMaxTurnStoreTime)) {
      return;
    }
    left.erase(left.begin(), left.begin() + static_cast<std::ptrdiff_t>(*read));
  }
}

void StorageNode::Expire() {
  const auto now = WallNow();
  turns_.Expire(now);
  tokens_.Expire(now);
  WriteAgain();
  if (!view_.storage_list().changing()) {
    digest_ = nullptr;
  }
  Compact();
  for (auto it = needed_until_.begin(); it != needed_until_.end();) {
    const bool needed = it->second >= now || turns_.UsesSegment(it->first) ||
                        !disk_log_.IsWritten(it->first);
    if (needed || !MoveLivingPrograms(it->first)) {
      ++it;
      continue;
    }
    disk_log_.Remove(it->first);
    moves_.erase(it->first);
    programs_in_segment_.erase(it->first);
    it = needed_until_.erase(it);
  }
}

}  // namespace comfreyfold
