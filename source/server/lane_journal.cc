#include "server/lane_journal.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "clients/base64.h"
#include "wire/codec.h"
#include "wire/snapshot_codec.h"

namespace comfreyfold {

namespace {

// Limits one answer of the service to about 40 MB: 32 blocks of up to 900 KiB,
// Base64-encoded.
constexpr int kBlocksPerRead = 32;
constexpr int kMaxReplayAttempts = 5;

std::string ZeroPadded(const char* format, std::int64_t number) {
  char buf[32];
  std::snprintf(buf, sizeof(buf), format, static_cast<long long>(number));
  return buf;
}

}  // namespace

LaneJournal::LaneJournal(KvClient& kv, int lane)
    : kv_(kv), prefix_("lane/" + ZeroPadded("%04lld", lane)) {}

// The number is padded with zeros so that keys sort in block order.
std::string LaneJournal::BlockKey(std::int64_t number) const {
  return prefix_ + "/block/" + ZeroPadded("%012lld", number);
}

std::string LaneJournal::HeadKey() const {
  return prefix_ + "/snapshot";
}

std::string LaneJournal::PartKey(const std::string& uid, int part) const {
  return prefix_ + "/part/" + uid + "/" + ZeroPadded("%06lld", part);
}

LaneReplay LaneJournal::Replay(Fiber& fiber) {
  // The owner may trim blocks between two of the reads, which makes them
  // inconsistent; they are then repeated.
  for (int i = 0; i < kMaxReplayAttempts; ++i) {
    if (auto out = TryReplay(fiber)) {
      return std::move(*out);
    }
  }
  throw KvUnavailable(
      prefix_ + " was trimmed during every replay attempt; it will be retried",
      false);
}

std::optional<LaneReplay> LaneJournal::TryReplay(Fiber& fiber) {
  LaneReplay out;
  if (!ReadSnapshot(fiber, out) || !ReadBlocks(fiber, out)) {
    return std::nullopt;
  }
  return out;
}

bool LaneJournal::ReadSnapshot(Fiber& fiber, LaneReplay& out) {
  const auto item = kv_.Get(fiber, HeadKey());
  if (!item) {
    return true;
  }
  const auto head = DecodeSnapshotHead(item->value);
  std::string bytes;
  for (int i = 0; i < head.parts; ++i) {
    const auto part = kv_.Get(fiber, PartKey(head.uid, i));
    if (!part) {
      return false;
    }
    bytes += part->value;
  }
  out.state = LaneState::FromSnapshot(DecodeLaneSnapshot(bytes));
  out.snapshot_block = head.last_block;
  out.snapshot_bytes = head.bytes;
  return true;
}

bool LaneJournal::ReadBlocks(Fiber& fiber, LaneReplay& out) {
  const auto end = PrefixEnd(prefix_ + "/block/");
  while (true) {
    const auto range = kv_.Range(fiber, BlockKey(out.state.last_block() + 1),
                                 end, kBlocksPerRead);
    for (const auto& it : range.items) {
      const auto block = DecodeLaneBlock(it.value);
      if (block.number != out.state.last_block() + 1) {
        return false;
      }
      out.state.Apply(block);
      out.block_bytes += static_cast<std::int64_t>(it.value.size());
    }
    if (static_cast<int>(range.items.size()) < kBlocksPerRead) {
      return true;
    }
  }
}

bool LaneJournal::TryCommit(Fiber& fiber, const LaneBlock& block) {
  const auto key = BlockKey(block.number);
  KvTxn txn;
  txn.compares.push_back(KvCompare::Absent(key));
  if (block.number > 1) {
    // Trimming deletes old blocks but never the last one. Without this
    // condition, an owner that was paused during a trim could create a trimmed
    // block a second time.
    txn.compares.push_back(KvCompare::Exists(BlockKey(block.number - 1)));
  } else {
    // The first block has no predecessor, but once it has been trimmed, a
    // snapshot exists. This condition rejects a delayed write of the first
    // block.
    txn.compares.push_back(KvCompare::Absent(HeadKey()));
  }
  txn.puts.push_back({key, Encode(block)});
  if (kv_.Commit(fiber, txn).succeeded) {
    return true;
  }
  // Either another daemon has written the block, or an earlier attempt
  // succeeded and its answer was lost. The block's uid tells which.
  const auto stored = Read(fiber, block.number);
  return stored && stored->uid == block.uid;
}

std::optional<LaneBlock> LaneJournal::Read(Fiber& fiber, std::int64_t number) {
  const auto item = kv_.Get(fiber, BlockKey(number));
  if (!item) {
    return std::nullopt;
  }
  return DecodeLaneBlock(item->value);
}

bool LaneJournal::SaveSnapshot(Fiber& fiber,
                               const LaneSnapshot& snapshot,
                               std::int64_t& bytes) {
  const auto encoded = Encode(snapshot);
  bytes = static_cast<std::int64_t>(encoded.size());
  SnapshotHead head{RandomId(), 0, snapshot.last_block, bytes};
  for (std::size_t offset = 0; offset < encoded.size();
       offset += kMaxValueBytes) {
    KvTxn txn;
    txn.puts.push_back({PartKey(head.uid, head.parts),
                        encoded.substr(offset, kMaxValueBytes)});
    kv_.Commit(fiber, txn);
    ++head.parts;
  }
  // One transaction makes the parts the newest snapshot and deletes the blocks,
  // on condition that the last block it covers still exists. An owner that was
  // paused can therefore neither restore an older snapshot nor delete blocks
  // that the newest snapshot does not cover.
  KvTxn txn;
  txn.compares.push_back(KvCompare::Exists(BlockKey(snapshot.last_block)));
  // A delayed transaction must not refer to parts that a newer snapshot of the
  // same block has deleted.
  txn.compares.push_back(KvCompare::Exists(PartKey(head.uid, 0)));
  txn.puts.push_back({HeadKey(), Encode(head)});
  txn.deletes.emplace_back(BlockKey(0), BlockKey(snapshot.last_block));
  const auto all_parts = prefix_ + "/part/";
  const auto own_parts = all_parts + head.uid + "/";
  txn.deletes.emplace_back(all_parts, own_parts);
  txn.deletes.emplace_back(PrefixEnd(own_parts), PrefixEnd(all_parts));
  return kv_.Commit(fiber, txn).succeeded;
}

}  // namespace comfreyfold
