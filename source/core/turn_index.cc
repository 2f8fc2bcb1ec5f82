#include "core/turn_index.h"

#include <algorithm>
#include <utility>

namespace comfreyfold {

namespace {
// Limits the length of a chain, and so the size of the answer with its turns.
constexpr std::size_t kMaxChainLength = 10000;
}  // namespace

bool TurnIndex::Put(TurnRecord record, std::int64_t segment) {
  if (turns_.count(record.id) > 0) {
    ExtendExpiry({record.id}, record.expires_at);
    return false;
  }
  // A client may use the id of an earlier turn again. Whoever follows the
  // parents of a turn must get to an end.
  if (Descends(record.parent, record.id)) {
    return false;
  }
  const auto bytes = record.bytes();
  bytes_ += bytes;
  content_bytes_ += bytes;
  ++segments_[segment];
  by_expiry_.emplace(record.expires_at, record.id);
  auto id = record.id;
  turns_.emplace(std::move(id), StoredTurn{std::move(record), segment, bytes});
  return true;
}

// The write that Put() belonged to may have failed, so the segment of the one
// that succeeded counts.
void TurnIndex::MarkStored(const std::string& id, const LogPosition& position) {
  const auto it = turns_.find(id);
  if (it == turns_.end() || it->second.position) {
    return;
  }
  auto& turn = it->second;
  turn.position = position;
  ++segments_[position.segment];
  LeaveSegment(turn.segment);
  turn.segment = position.segment;
  droppable_bytes_ += turn.bytes;
  turn.droppable = droppable_.insert(droppable_.end(), &it->first);
}

void TurnIndex::Move(const std::string& id, const LogPosition& position) {
  const auto it = turns_.find(id);
  if (it == turns_.end() || !it->second.position) {
    return;
  }
  auto& turn = it->second;
  turn.position = position;
  ++segments_[position.segment];
  LeaveSegment(turn.segment);
  turn.segment = position.segment;
}

std::map<std::int64_t, std::int64_t> TurnIndex::StoredBytesBySegment() const {
  std::map<std::int64_t, std::int64_t> out;
  for (const auto& [id, it] : turns_) {
    if (it.position) {
      out[it.segment] += static_cast<std::int64_t>(it.bytes);
    }
  }
  return out;
}

std::vector<std::string> TurnIndex::StoredIn(std::int64_t segment) const {
  std::vector<std::string> out;
  for (const auto& [id, it] : turns_) {
    if (it.position && it.segment == segment) {
      out.push_back(id);
    }
  }
  return out;
}

bool TurnIndex::IsStored(const std::string& id) const {
  const auto it = turns_.find(id);
  return it != turns_.end() && it->second.position;
}

void TurnIndex::DropContents(std::size_t max_bytes) {
  while (memory_bytes() > max_bytes && !droppable_.empty()) {
    auto& turn = turns_.find(*droppable_.front())->second;
    droppable_.pop_front();
    turn.dropped = true;
    // The assignment of an empty string would keep the memory.
    std::string().swap(turn.record.input);
    std::string().swap(turn.record.output);
    content_bytes_ -= turn.bytes;
    droppable_bytes_ -= turn.bytes;
  }
}

std::size_t TurnIndex::BytesOf(const std::string& id) const {
  const auto it = turns_.find(id);
  return it == turns_.end() ? 0 : it->second.bytes;
}

std::optional<LogPosition> TurnIndex::PositionOfDropped(
    const std::string& id) const {
  const auto it = turns_.find(id);
  return it != turns_.end() && it->second.dropped ? it->second.position
                                                  : std::nullopt;
}

void TurnIndex::LeaveSegment(std::int64_t segment) {
  const auto it = segments_.find(segment);
  if (--it->second == 0) {
    segments_.erase(it);
  }
}

bool TurnIndex::Descends(const std::string& id,
                         const std::string& ancestor) const {
  const auto* next = &id;
  while (!next->empty()) {
    if (*next == ancestor) {
      return true;
    }
    const auto* turn = Find(*next);
    if (turn == nullptr) {
      return false;
    }
    next = &turn->parent;
  }
  return false;
}

const TurnRecord* TurnIndex::Find(const std::string& id) const {
  const auto it = turns_.find(id);
  return it == turns_.end() ? nullptr : &it->second.record;
}

std::vector<const TurnRecord*> TurnIndex::Chain(const std::string& id) const {
  std::vector<const TurnRecord*> out;
  for (const auto* it = Find(id); it != nullptr && out.size() < kMaxChainLength;
       it = Find(it->parent)) {
    out.push_back(it);
    if (it->parent.empty()) {
      break;
    }
  }
  return out;
}

void TurnIndex::ExtendExpiry(const std::vector<std::string>& ids,
                             std::chrono::milliseconds until) {
  for (const auto& id : ids) {
    const auto it = turns_.find(id);
    if (it == turns_.end() || it->second.record.expires_at >= until) {
      continue;
    }
    auto& expires_at = it->second.record.expires_at;
    const auto [first, last] = by_expiry_.equal_range(expires_at);
    const auto place = std::find_if(
        first, last, [&id](const auto& entry) { return entry.second == id; });
    by_expiry_.erase(place);
    expires_at = until;
    by_expiry_.emplace(until, id);
  }
}

void TurnIndex::Expire(std::chrono::milliseconds now, std::size_t max_bytes) {
  while (!by_expiry_.empty() && (by_expiry_.begin()->first < now ||
                                 (max_bytes > 0 && bytes_ > max_bytes))) {
    const auto id = by_expiry_.begin()->second;
    Erase(id);
  }
}

std::chrono::milliseconds TurnIndex::ExpiryOf(std::size_t bytes) const {
  std::chrono::milliseconds out{0};
  std::size_t seen = 0;
  for (const auto& [expires_at, id] : by_expiry_) {
    out = expires_at;
    seen += turns_.find(id)->second.bytes;
    if (seen >= bytes) {
      break;
    }
  }
  return out;
}

void TurnIndex::Erase(const std::string& id) {
  const auto it = turns_.find(id);
  const auto [first, last] =
      by_expiry_.equal_range(it->second.record.expires_at);
  by_expiry_.erase(std::find_if(
      first, last, [&id](const auto& entry) { return entry.second == id; }));
  const auto& turn = it->second;
  bytes_ -= turn.bytes;
  if (!turn.dropped) {
    content_bytes_ -= turn.bytes;
    if (turn.position) {
      droppable_bytes_ -= turn.bytes;
      droppable_.erase(turn.droppable);
    }
  }
  LeaveSegment(turn.segment);
  turns_.erase(it);
}

std::vector<std::string> TurnIndex::Missing(
    const std::vector<std::string>& ids) const {
  std::vector<std::string> out;
  for (const auto& id : ids) {
    if (turns_.count(id) == 0) {
      out.push_back(id);
    }
  }
  return out;
}

std::vector<const TurnRecord*> TurnIndex::Turns() const {
  std::vector<const TurnRecord*> out;
  out.reserve(turns_.size());
  for (const auto& [id, it] : turns_) {
    out.push_back(&it.record);
  }
  return out;
}

std::vector<std::string> TurnIndex::Ids() const {
  std::vector<std::string> out;
  out.reserve(turns_.size());
  for (const auto& [id, it] : turns_) {
    out.push_back(id);
  }
  return out;
}

}  // namespace comfreyfold
