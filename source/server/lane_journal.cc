#include "server/lane_journal.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "clients/base64.h"
#include "wire/codec.h"
#include "wire/snapshot_codec.h"

namespace comfreyfold {

namespace {

// Bounds one answer of the service to some tens of megabytes.
constexpr int kBlocksPerRead = 32;
constexpr int kReplayTries = 5;

std::string Padded(const char* format, std::int64_t number) {
  char buf[32];
  std::snprintf(buf, sizeof(buf), format, static_cast<long long>(number));
  return buf;
}

}  // namespace

LaneJournal::LaneJournal(KvClient& kv, int lane)
    : kv_(kv), prefix_("lane/" + Padded("%04lld", lane)) {}

// Zeros keep the order of the keys the order of the blocks.
std::string LaneJournal::BlockKey(std::int64_t number) const {
  return prefix_ + "/block/" + Padded("%012lld", number);
}

std::string LaneJournal::HeadKey() const {
  return prefix_ + "/snapshot";
}

std::string LaneJournal::PartKey(const std::string& uid, int part) const {
  return prefix_ + "/part/" + uid + "/" + Padded("%06lld", part);
}

LaneReplay LaneJournal::Replay(Fiber& fiber) {
  // An owner may trim between two of the reads: what was read then does not
  // fit together, and is read again.
  for (int i = 0; i < kReplayTries; ++i) {
    if (auto out = TryReplay(fiber)) {
      return std::move(*out);
    }
  }
  throw KvUnavailable(prefix_ + " changed under every replay; it is retried",
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
    // Trimming deletes old blocks but never the last: without this an owner
    // that slept through a trim could create its next block a second time.
    txn.compares.push_back(KvCompare::Exists(BlockKey(block.number - 1)));
  } else {
    // The first block has no predecessor, but once it is trimmed there is a
    // snapshot. A write of it that was long under way is turned away so.
    txn.compares.push_back(KvCompare::Absent(HeadKey()));
  }
  txn.puts.push_back({key, Encode(block)});
  if (kv_.Commit(fiber, txn).succeeded) {
    return true;
  }
  // Either another daemon won, or an earlier try took effect and its
  // answer was lost: the block's uid tells which.
  const auto there = Read(fiber, block.number);
  return there && there->uid == block.uid;
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
  const auto whole = Encode(snapshot);
  bytes = static_cast<std::int64_t>(whole.size());
  SnapshotHead head{RandomId(), 0, snapshot.last_block, bytes};
  for (std::size_t at = 0; at < whole.size(); at += kMostValueBytes) {
    KvTxn txn;
    txn.puts.push_back(
        {PartKey(head.uid, head.parts), whole.substr(at, kMostValueBytes)});
    kv_.Commit(fiber, txn);
    ++head.parts;
  }
  // The parts become the newest snapshot and the blocks go in one step,
  // and only while the last block it covers is there: an owner that slept
  // can neither bring an older snapshot back nor trim what is not covered.
  KvTxn txn;
  txn.compares.push_back(KvCompare::Exists(BlockKey(snapshot.last_block)));
  // Nor may a step that was long under way name parts that a newer snapshot
  // of the same block has deleted.
  txn.compares.push_back(KvCompare::Exists(PartKey(head.uid, 0)));
  txn.puts.push_back({HeadKey(), Encode(head)});
  txn.deletes.emplace_back(BlockKey(0), BlockKey(snapshot.last_block));
  const auto parts = prefix_ + "/part/";
  const auto own = parts + head.uid + "/";
  txn.deletes.emplace_back(parts, own);
  txn.deletes.emplace_back(PrefixEnd(own), PrefixEnd(parts));
  return kv_.Commit(fiber, txn).succeeded;
}

}  // namespace comfreyfold
