#include "storage/storage_node.h"

#include <algorithm>
#include <iterator>
#include <limits>
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
// A full disk has room again once expired turns have made room for some further
// ones: this part of the limit. How long that takes is computed anew after
// kRoomEstimateTime, since it takes a look at many turns.
constexpr std::int64_t kRoomMarginDivisor = 32;
constexpr std::chrono::milliseconds kRoomEstimateTime{500};
// For contents of turns that are read from the disk.
constexpr std::chrono::milliseconds kReadTimeout{1000};
// Limits of a reply with turns or uses, which many disks may request from this
// one at the same time. The requesting disk asks for the rest again.
constexpr std::size_t kMaxReplyBytes = 256 * 1024;
constexpr std::size_t kMaxReplyUses = 1000;
// A reply that is on its way for as long still counts.
constexpr std::chrono::milliseconds kMaxDigestAge{1000};

std::string ReadOrCreateDiskId(const std::string& folder) {
  auto disk = ReadWholeFile(folder + "/" + kDiskFile);
  if (disk.empty()) {
    disk = RandomId();
    WriteFileDurably(folder, kDiskFile, disk);
  }
  return disk;
}

// Sets the content of `turn` to that in an entry of the log. Returns false if
// the entry does not have it.
bool TakeContent(const std::string& entry, TurnRecord& turn) {
  if (entry.empty()) {
    return false;
  }
  auto request = DecodeStorageRequest(entry);
  const auto it =
      std::find_if(request.turns.begin(), request.turns.end(),
                   [&turn](const auto& other) { return other.id == turn.id; });
  if (it == request.turns.end()) {
    return false;
  }
  turn.input = std::move(it->input);
  turn.output = std::move(it->output);
  return true;
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
  std::int64_t entries = 0;
  disk_log_.Replay(
      [this, &entries](const LogPosition& position, const std::string& entry) {
        ++entries;
        const auto request = DecodeStorageRequest(entry);
        Apply(position, request);
        for (const auto& it : request.turns) {
          turns_.MarkStored(it.id, position);
        }
        LimitContents();
      });
  // Those without a readable entry are to be removed too.
  for (const auto it : disk_log_.ClosedSegments()) {
    needed_until_.try_emplace(it, 0);
  }
  const auto list = ReadWholeFile(folder + "/" + kListFile);
  if (!list.empty()) {
    view_.ApplyStorageList(DecodeStorageList(list));
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

// State of one reading from the disk, shared with its completion callback.
struct StorageNode::Reading {
  explicit Reading(Loop& loop) : changed(loop) {}
  Condition changed;
  bool ended = false;
  std::vector<std::string> entries;
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
  }
  // During a change of the list, a disk that joins has the records written
  // since the change began, and the disks of the old set have the earlier ones.
  reply.whole = list.IsMember(disk_) || list.IsNextMember(disk_);
  return reply;
}

DiskUse StorageNode::Use() const {
  return {static_cast<std::int64_t>(turns_.bytes()),
          static_cast<std::int64_t>(disk_log_.backlog_bytes()),
          disk_log_.backlog(), static_cast<std::int64_t>(turns_.pinned_bytes()),
          disk_log_.size_bytes()};
}

DiskRoom StorageNode::Room() {
  room_limits_.SetDisks(view_.storage_list().Writable().size(),
                        static_cast<std::size_t>(tolerated_losses_));
  const auto room = room_limits_.RoomWith(Use());
  if (room == DiskRoom::kNewChains) {
    return room;
  }
  turns_.Expire(WallNow());
  return room_limits_.RoomWith(Use());
}

// Turns that are yet to run are refused by the daemons that serve clients. All
// that is stored here belongs to turns that have run, or is small: uses of
// tokens need no room among the turns.
bool StorageNode::Takes(const StorageRequest& request) {
  auto use = Use();
  if (request.turns.empty()) {
    use.turn_bytes = 0;
    use.memory_bytes = 0;
    return room_limits_.RoomWith(use) != DiskRoom::kNothing;
  }
  return Room() != DiskRoom::kNothing;
}

std::chrono::milliseconds StorageNode::RoomIn(DiskRoom room) {
  const auto use = Use();
  const auto excess = room_limits_.ExcessFor(room, use);
  if (excess == 0) {
    return {};
  }
  const auto now = WallNow();
  auto& [room_at, estimated_at] = room_estimates_[room];
  if (now - estimated_at >= kRoomEstimateTime) {
    estimated_at = now;
    room_at = turns_.ExpiryOf(
        static_cast<std::size_t>(excess + use.turn_bytes / kRoomMarginDivisor));
  }
  return std::max(room_at - now, std::chrono::milliseconds(1));
}

void StorageNode::ReportRoom(StorageReply& reply) {
  const auto room = Room();
  reply.full = room > DiskRoom::kNewTurns;
  reply.overfull = room == DiskRoom::kNothing;
  if (reply.full) {
    reply.room_in = RoomIn(DiskRoom::kNewTurns);
  }
  if (room > DiskRoom::kNewChains) {
    reply.new_chains_in =
        std::max(RoomIn(DiskRoom::kNewChains), std::chrono::milliseconds(1));
  }
}

std::shared_ptr<StorageNode::Write> StorageNode::BeginWrite(
    const StorageRequest& request,
    const std::string& encoded) {
  auto write = std::make_shared<Write>(loop_);
  last_write_ = write;
  if (request.turns.size() <= 1) {
    AppendTo(write, request, encoded);
    return write;
  }
  // Each turn can be read alone then.
  for (const auto& it : request.turns) {
    StorageRequest part;
    part.turns = {it};
    AppendTo(write, part, Encode(part));
  }
  if (!request.uses.empty() || !request.ids.empty()) {
    auto rest = request;
    rest.turns.clear();
    AppendTo(write, rest, Encode(rest));
  }
  return write;
}

void StorageNode::AppendTo(const std::shared_ptr<Write>& write,
                           const StorageRequest& request,
                           const std::string& encoded,
                           EntryKind kind) {
  ++write->entries;
  auto position = std::make_shared<LogPosition>();
  *position = disk_log_.Append(
      encoded, [write, position, kind, self = self_,
                summary = UnwrittenRecords::SummaryOf(request)](bool written) {
        if (auto* node = *self) {
          node->EndEntry(*position, summary, kind, written);
        }
        write->End(written);
      });
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
  second_write_ = BeginWrite(request, Encode(request));
}

std::vector<std::string> StorageNode::UnwrittenOf(
    const std::vector<std::string>& ids) const {
  std::vector<std::string> out;
  std::copy_if(
      ids.begin(), ids.end(), std::back_inserter(out),
      [this](const std::string& it) { return unwritten_.HasTurn(it); });
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
  const auto write = BeginWrite(request, encoded);
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
  // The writes before this one have ended as well.
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
  return AwaitWrite(fiber, BeginWrite(request, Encode(request)), kSyncTimeout);
}

// Writes end in the order in which they began.
bool StorageNode::AwaitDurable(Fiber& fiber) {
  const auto last = last_write_;
  if (last && !AwaitWrite(fiber, last, kSyncTimeout) && !last->ended) {
    return false;
  }
  for (WriteAgain(); !unwritten_.empty(); WriteAgain()) {
    const auto write = second_write_;
    if (!AwaitWrite(fiber, write, kSyncTimeout)) {
      return false;
    }
  }
  return true;
}

std::optional<std::size_t> StorageNode::ReadTurns(
    Fiber& fiber,
    const std::vector<std::string>& ids,
    std::size_t max_bytes,
    std::vector<TurnRecord>& out) {
  std::vector<LogPosition> positions;
  std::vector<std::size_t> dropped;  // Where in `out` they belong.
  std::size_t bytes = 0;
  std::size_t n = 0;
  for (; n < ids.size(); ++n) {
    const auto* turn = turns_.Find(ids[n]);
    if (turn == nullptr) {
      continue;
    }
    const auto turn_bytes = turns_.BytesOf(ids[n]);
    if (bytes > 0 && turn_bytes > max_bytes - std::min(max_bytes, bytes)) {
      break;
    }
    bytes += turn_bytes;
    if (const auto position = turns_.PositionOfDropped(ids[n])) {
      positions.push_back(*position);
      dropped.push_back(out.size());
    }
    out.push_back(*turn);
  }
  if (!positions.empty() && !ReadContents(fiber, positions, dropped, out)) {
    return std::nullopt;
  }
  return n;
}

bool StorageNode::ReadContents(Fiber& fiber,
                               const std::vector<LogPosition>& positions,
                               const std::vector<std::size_t>& dropped,
                               std::vector<TurnRecord>& turns) {
  const auto reading = std::make_shared<Reading>(loop_);
  disk_log_.Read(positions, std::chrono::steady_clock::now() + kReadTimeout,
                 [reading](std::vector<std::string> entries) {
                   reading->entries = std::move(entries);
                   reading->ended = true;
                   reading->changed.NotifyAll();
                 });
  reading->changed.WaitUntil(fiber, kReadTimeout,
                             [&reading] { return reading->ended; });
  for (std::size_t n = 0; n < dropped.size(); ++n) {
    auto& turn = turns[dropped[n]];
    if (!reading->ended || !TakeContent(reading->entries[n], turn)) {
      log_.Write("turn_not_read", turn.id,
                 {{"reason", reading->ended ? "damaged or removed from the log"
                                            : "the disk took too long"}});
      return false;
    }
  }
  return true;
}

StorageReply StorageNode::AnswerChain(Fiber& fiber,
                                      const StorageRequest& request) {
  StorageReply reply;
  std::vector<std::string> ids;
  if (!request.ids.empty()) {
    for (const auto* it : turns_.Chain(request.ids.front())) {
      ids.push_back(it->id);
    }
  }
  if (!ReadTurns(fiber, ids, std::numeric_limits<std::size_t>::max(),
                 reply.turns)) {
    // A reply without turns would say that the turn does not exist.
    reply.turns.clear();
    reply.status = StorageStatus::kFailed;
  }
  return reply;
}

// Computed once per epoch for all disks that copy. Programs that are added
// later need no copying, because they are stored on quorums of the next set as
// well.
const std::vector<std::string>& StorageNode::ProgramsGainedBy(
    const std::string& disk) {
  const auto& list = view_.storage_list();
  if (gained_epoch_ != list.epoch) {
    gained_epoch_ = list.epoch;
    gained_.clear();
    for (const auto& program : tokens_.Programs()) {
      for (const auto& it : list.NewReplicasOf(program, tolerated_losses_)) {
        gained_[it].push_back(program);
      }
    }
  }
  return gained_[disk];
}

StorageReply StorageNode::AnswerSomeUses(const StorageRequest& request) {
  StorageReply reply;
  const auto& programs =
      ProgramsGainedBy(request.ids.empty() ? "" : request.ids.front());
  auto it = std::upper_bound(programs.begin(), programs.end(), request.program);
  for (; it != programs.end() && reply.uses.size() < kMaxReplyUses; ++it) {
    for (auto& use : tokens_.ForProgram(*it)) {
      reply.uses.push_back(std::move(use));
    }
  }
  if (it != programs.end()) {
    reply.ids = {*std::prev(it)};
  }
  return reply;
}

// Holds for one epoch: what a disk stores after it has adopted a list is
// written to enough disks of the next set.
struct StorageNode::KeptDigest {
  std::int64_t epoch = 0;
  std::chrono::steady_clock::time_point made_at;
  TurnDigest entries;
  std::vector<std::string> ids;  // In the order of `entries`.
  std::string packed;
};

const StorageNode::KeptDigest& StorageNode::Digest() {
  const auto now = std::chrono::steady_clock::now();
  const auto epoch = view_.storage_list().epoch;
  if (digest_ && digest_->epoch == epoch &&
      now - digest_->made_at < kMaxDigestAge) {
    return *digest_;
  }
  std::vector<std::pair<DigestEntry, const std::string*>> turns;
  turns.reserve(turns_.size());
  for (const auto* it : turns_.Turns()) {
    turns.push_back({{TurnKey::Of(it->id), it->expires_at}, &it->id});
  }
  std::sort(turns.begin(), turns.end(), [](const auto& a, const auto& b) {
    return a.first.key < b.first.key;
  });
  digest_ = std::make_unique<KeptDigest>();
  digest_->epoch = epoch;
  digest_->made_at = now;
  digest_->entries.reserve(turns.size());
  digest_->ids.reserve(turns.size());
  for (const auto& [entry, id] : turns) {
    digest_->entries.push_back(entry);
    digest_->ids.push_back(*id);
  }
  digest_->packed = PackDigest(digest_->entries);
  return *digest_;
}

TurnDigest StorageNode::TurnsByKey() {
  digest_ = nullptr;
  return Digest().entries;
}

std::vector<std::string> StorageNode::IdsOf(const std::vector<TurnKey>& keys) {
  const auto& digest = Digest();
  std::vector<std::string> out;
  for (const auto& key : keys) {
    const auto it = std::lower_bound(
        digest.entries.begin(), digest.entries.end(), key,
        [](const DigestEntry& a, const TurnKey& b) { return a.key < b; });
    if (it != digest.entries.end() && it->key == key) {
      out.push_back(digest.ids[static_cast<std::size_t>(
          std::distance(digest.entries.begin(), it))]);
    }
  }
  return out;
}

std::vector<std::string> StorageNode::WantedIds(const StorageRequest& request) {
  auto out = request.ids;
  if (!request.keys.empty()) {
    auto ids = IdsOf(request.keys);
    std::move(ids.begin(), ids.end(), std::back_inserter(out));
  }
  return out;
}

StorageReply StorageNode::AnswerDigest(const StorageRequest& request) {
  StorageReply reply;
  if (request.packs) {
    reply.digest = Digest().packed;
    return reply;
  }
  reply.ids = turns_.Ids();
  for (const auto& id : reply.ids) {
    reply.expiries.push_back(turns_.Find(id)->expires_at);
  }
  return reply;
}

StorageReply StorageNode::AnswerFetch(Fiber& fiber,
                                      const StorageRequest& request) {
  StorageReply reply;
  if (!ReadTurns(fiber, WantedIds(request), kMaxReplyBytes, reply.turns)) {
    reply.turns.clear();
    reply.status = StorageStatus::kFailed;
  }
  return reply;
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
  moves_[segment] = BeginWrite(request, Encode(request));
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
    if (it < disk_log_.current_segment() &&
        bytes <= disk_log_.SegmentBytes(it) / 2 &&
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
    const auto read = ReadTurns(fiber, left, kMaxReplyBytes, turns);
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
      AppendTo(write, request, Encode(request), EntryKind::kMoved);
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
                        it->first >= disk_log_.current_segment();
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
