// The part of StorageNode that reads turns with their contents.

#include <algorithm>
#include <limits>
#include <utility>

#include "storage/storage_node.h"

namespace comfreyfold {

namespace {

// For contents of turns that are read from the disk.
constexpr std::chrono::milliseconds kReadTimeout{1000};

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

}  // namespace

// State of one reading from the disk, shared with its completion callback.
struct StorageNode::Reading {
  explicit Reading(Loop& loop) : changed(loop) {}
  Condition changed;
  bool ended = false;
  std::vector<std::string> entries;
};

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

}  // namespace comfreyfold
