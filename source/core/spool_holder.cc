#include "core/spool_holder.h"

#include <algorithm>

#include "core/hash.h"

namespace comfreyfold {

namespace {

std::vector<SpoolCandidate> OrderByPreference(
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
  auto remaining = OrderByPreference(lane, candidates);
  std::vector<std::string> used_data_centres{data_centre};
  std::vector<SpoolHolder> out;
  while (out.size() < kHoldersPerLane) {
    const auto count_in_same_data_centre =
        [&used_data_centres](const SpoolCandidate& it) {
          return std::count(used_data_centres.begin(), used_data_centres.end(),
                            it.data_centre);
        };
    const auto best = std::min_element(
        remaining.begin(), remaining.end(),
        [&count_in_same_data_centre](const auto& a, const auto& b) {
          return count_in_same_data_centre(a) < count_in_same_data_centre(b);
        });
    out.push_back(best->holder);
    used_data_centres.push_back(best->data_centre);
    remaining.erase(best);
  }
  return out;
}

}  // namespace comfreyfold
