#include "core/lane_entry.h"

#include <algorithm>

namespace comfreyfold {

namespace {

// Estimate for the fields of fixed size and the share of the block's header.
constexpr std::size_t kEntryOverheadBytes = 128;

template <typename Predicate>
bool AnyOf(const std::vector<LaneEntry>& entries, const Predicate& predicate) {
  return std::any_of(entries.begin(), entries.end(), predicate);
}

}  // namespace

std::size_t EstimatedBytes(const std::vector<LaneEntry>& entries) {
  std::size_t out = 0;
  for (const auto& it : entries) {
    out += kEntryOverheadBytes + it.customer.size() + it.program.size() +
           it.key.size() + it.target.size() + it.backend.size() +
           it.request.size() + it.answer.size();
  }
  return out;
}

bool HasIntent(const std::vector<LaneEntry>& entries) {
  return AnyOf(entries, [](const LaneEntry& it) {
    return it.kind == EntryKind::kCallBegun;
  });
}

bool HasUnsafeIntent(const std::vector<LaneEntry>& entries) {
  return AnyOf(entries, [](const LaneEntry& it) {
    return it.kind == EntryKind::kCallBegun && !it.idempotent;
  });
}

bool HasOwnershipChange(const std::vector<LaneEntry>& entries) {
  return AnyOf(entries, [](const LaneEntry& it) {
    return it.kind == EntryKind::kHolders || it.kind == EntryKind::kTakeover ||
           it.kind == EntryKind::kHandover;
  });
}

}  // namespace comfreyfold
