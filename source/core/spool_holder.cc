#include "core/spool_holder.h"

#include <algorithm>

#include "core/hash.h"

namespace comfreyfold {

namespace {

std::vector<SpoolCandidate> InOrder(
    int lane,
    const std::vector<SpoolCandidate>& candidates) {
  std::vector<std::string> daemons;
  daemons.reserve(candidates.size());
  for (const auto& it : candidates) {
    daemons.push_back(it.holder.daemon);
  }
  std::vector<SpoolCandidate> out;
  for (const auto& daemon :
       RendezvousOrder("spool/" + std::to_string(lane), std::move(daemons))) {
    out.push_back(*std::find_if(
        candidates.begin(), candidates.end(),
        [&daemon](const auto& it) { return it.holder.daemon == daemon; }));
  }
  return out;
}

}  // namespace

std::vector<SpoolHolder> ChooseHolders(
    int lane,
    const std::string& data_centre,
    const std::vector<SpoolCandidate>& candidates) {
  if (candidates.size() < kHoldersPerLane) {
    return {};
  }
  auto left = InOrder(lane, candidates);
  std::vector<std::string> used{data_centre};
  std::vector<SpoolHolder> out;
  while (out.size() < kHoldersPerLane) {
    const auto clashes = [&used](const SpoolCandidate& it) {
      return std::count(used.begin(), used.end(), it.data_centre);
    };
    const auto best = std::min_element(
        left.begin(), left.end(), [&clashes](const auto& a, const auto& b) {
          return clashes(a) < clashes(b);
        });
    out.push_back(best->holder);
    used.push_back(best->data_centre);
    left.erase(best);
  }
  return out;
}

}  // namespace comfreyfold
