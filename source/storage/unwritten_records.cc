#include "storage/unwritten_records.h"

#include <algorithm>

namespace comfreyfold {

namespace {

// Turns and uses of one request, which waits for the disk in memory.
constexpr std::size_t kMaxStoreBytes = 1024 * 1024;
constexpr std::size_t kMaxStoreUses = 1000;

// Whether `written` says all that `use` says.
bool Covers(const TokenUse& written, const TokenUse& use) {
  TokenLedger ledger;
  ledger.Merge(written);
  return !ledger.Merge(use);
}

}  // namespace

UnwrittenRecords::Summary UnwrittenRecords::SummaryOf(
    const StorageRequest& request) {
  Summary out;
  for (const auto& it : request.turns) {
    out.turns.emplace_back(it.id, it.expires_at);
  }
  for (const auto& it : request.ids) {
    out.extended.emplace_back(it, request.keep_until);
  }
  out.uses = request.uses;
  return out;
}

void UnwrittenRecords::Add(const Summary& failed) {
  for (const auto* list : {&failed.turns, &failed.extended}) {
    for (const auto& [id, expires_at] : *list) {
      auto& known = turns_[id];
      known = std::max(known, expires_at);
    }
  }
  for (const auto& it : failed.uses) {
    const auto [place, added] = uses_.try_emplace({it.program, it.request}, it);
    if (added) {
      continue;
    }
    TokenLedger ledger;
    ledger.Merge(place->second);
    ledger.Merge(it);
    place->second = ledger.uses().begin()->second;
  }
}

// The expiry of a turn that the disk does not hold cannot be extended there.
void UnwrittenRecords::Remove(const Summary& written, const TurnIndex& turns) {
  if (empty()) {
    return;
  }
  for (const auto* list : {&written.turns, &written.extended}) {
    for (const auto& [id, expires_at] : *list) {
      const auto it = turns_.find(id);
      if (it != turns_.end() && it->second <= expires_at &&
          turns.IsStored(id)) {
        turns_.erase(it);
      }
    }
  }
  for (const auto& it : written.uses) {
    const auto known = uses_.find({it.program, it.request});
    if (known != uses_.end() && Covers(it, known->second)) {
      uses_.erase(known);
    }
  }
}

void UnwrittenRecords::DropExpired(const TurnIndex& turns,
                                   const TokenLedgers& tokens) {
  std::erase_if(turns_, [&turns](const auto& it) {
    return turns.Find(it.first) == nullptr;
  });
  std::erase_if(uses_, [&tokens](const auto& it) {
    return tokens.ForProgram(it.first.first).empty();
  });
}

StorageRequest UnwrittenRecords::NextStore(const TurnIndex& turns) const {
  StorageRequest out;
  std::size_t bytes = 0;
  for (const auto& [id, expires_at] : turns_) {
    const auto* turn = turns.Find(id);
    if (turn == nullptr) {
      continue;
    }
    // The turn may have arrived after its expiry was to be extended.
    const auto until = std::max(turn->expires_at, expires_at);
    if (turns.IsStored(id)) {
      out.ids.push_back(id);
      out.keep_until = std::max(out.keep_until, until);
      continue;
    }
    out.turns.push_back(*turn);
    out.turns.back().expires_at = until;
    bytes += turn->bytes();
    if (bytes >= kMaxStoreBytes) {
      break;
    }
  }
  for (const auto& [key, use] : uses_) {
    out.uses.push_back(use);
    if (out.uses.size() >= kMaxStoreUses) {
      break;
    }
  }
  return out;
}

}  // namespace comfreyfold
