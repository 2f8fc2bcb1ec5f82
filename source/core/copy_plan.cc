#include "core/copy_plan.h"

#include <algorithm>

#include "core/hash.h"

namespace comfreyfold {

CopyPlan::CopyPlan(const StorageList& list,
                   const std::string& disk,
                   int tolerated_losses,
                   const std::set<std::string>& reachable,
                   std::size_t attempt)
    : copies_(static_cast<std::size_t>(tolerated_losses) + 1),
      attempt_(attempt) {
  for (const auto& it : list.AllMembers()) {
    if (it.disk == disk) {
      self_ = disks_.size();
    }
    disks_.push_back(it.disk);
    in_next_.push_back(list.IsNextMember(it.disk));
    reachable_.push_back(reachable.count(it.disk) > 0);
  }
}

void CopyPlan::Add(std::size_t member, TurnDigest digest) {
  Cursor cursor;
  cursor.member = member;
  cursor.digest = std::move(digest);
  cursors_.push_back(std::move(cursor));
  std::sort(cursors_.begin(), cursors_.end(),
            [](const auto& a, const auto& b) { return a.member < b.member; });
}

bool CopyPlan::Advance(std::size_t max_turns) {
  TurnKey key;
  for (std::size_t n = 0; n < max_turns; ++n) {
    if (!TakeNext(key)) {
      return false;
    }
    Choose(key);
  }
  return true;
}

// The retention of a turn is extended on as many disks as a record needs, so
// other copies of it may expire early. They do not count.
bool CopyPlan::TakeNext(TurnKey& key) {
  const Cursor* least = nullptr;
  for (const auto& it : cursors_) {
    if (!it.ended() &&
        (least == nullptr || it.entry().key < least->entry().key)) {
      least = &it;
    }
  }
  if (least == nullptr) {
    return false;
  }
  key = least->entry().key;
  holders_.clear();
  std::chrono::milliseconds last{0};
  for (const auto& it : cursors_) {
    if (!it.ended() && it.entry().key == key) {
      last = std::max(last, it.entry().expires_at);
    }
  }
  for (auto& it : cursors_) {
    if (it.ended() || it.entry().key != key) {
      continue;
    }
    const auto expires_at = it.entry().expires_at;
    if (expires_at.count() == 0 || expires_at == last) {
      holders_.push_back(it.member);
    }
    ++it.next;
  }
  return true;
}

std::size_t CopyPlan::OrderMissing(const TurnKey& key) {
  order_.clear();
  std::size_t held = 0;
  for (std::size_t n = 0; n < disks_.size(); ++n) {
    if (!in_next_[n]) {
      continue;
    }
    if (std::find(holders_.begin(), holders_.end(), n) != holders_.end()) {
      ++held;
    } else {
      order_.emplace_back(0, n);
    }
  }
  if (held < copies_) {
    for (auto& [weight, n] : order_) {
      weight = RendezvousWeight(key.first, disks_[n]);
    }
    std::sort(order_.begin(), order_.end(),
              [this](const auto& a, const auto& b) {
                return a.first != b.first ? a.first > b.first
                                          : disks_[a.second] < disks_[b.second];
              });
  }
  return held;
}

void CopyPlan::Choose(const TurnKey& key) {
  auto held = OrderMissing(key);
  if (held >= copies_) {
    return;
  }
  for (std::size_t n = 0; held + n < copies_ && n < order_.size(); ++n) {
    if (order_[n].second == self_) {
      // Spreads the load over the disks that have copies.
      const auto source = (key.second + attempt_) % holders_.size();
      fetches_[holders_[source]].push_back(key);
    }
  }
  if (holders_.front() != self_) {
    return;
  }
  for (const auto& [weight, n] : order_) {
    if (held < copies_ && reachable_[n]) {
      sends_[n].push_back(key);
      ++held;
    }
  }
}

}  // namespace comfreyfold
