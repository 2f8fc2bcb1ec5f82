#include "core/kept_fleet.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace comfreyfold {

namespace {

bool IsOlder(const KeptFleet& a, const KeptFleet& b) {
  return std::tie(a.config_version, a.kept_at) <
         std::tie(b.config_version, b.kept_at);
}

}  // namespace

void KeptFleetQuorum::Add(const std::string& disk, KeptFleet kept) {
  if (kept.config_version > 0) {
    kept_[disk] = std::move(kept);
  }
}

bool KeptFleetQuorum::HasAnswers(const std::vector<StorageMember>& members,
                                 int tolerated_losses) const {
  const auto answers = std::count_if(
      members.begin(), members.end(),
      [this](const auto& it) { return kept_.count(it.disk) > 0; });
  return static_cast<std::size_t>(answers) >=
         StorageList::AnswersToProveAbsence(members, tolerated_losses);
}

const KeptFleet* KeptFleetQuorum::Newest(const StorageList& list,
                                         int tolerated_losses) const {
  if (list.members.empty() || !HasAnswers(list.members, tolerated_losses)) {
    return nullptr;
  }
  const auto newest = std::max_element(
      kept_.begin(), kept_.end(),
      [](const auto& a, const auto& b) { return IsOlder(a.second, b.second); });
  return &newest->second;
}

}  // namespace comfreyfold
