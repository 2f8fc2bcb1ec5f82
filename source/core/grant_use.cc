#include "core/grant_use.h"

#include <algorithm>

namespace comfreyfold {

void GrantTally::Add(const GrantAnswer& answer) {
  for (const int lane : answer.lanes) {
    by_lane_[lane];
  }
  for (const auto& it : answer.uses) {
    auto& tokens = by_lane_[it.lane][it.name];
    tokens = std::max(tokens, it.tokens);
  }
}

bool GrantTally::Complete(int lanes) const {
  return static_cast<int>(by_lane_.size()) == lanes;
}

std::int64_t GrantTally::Total(const GrantName& name) const {
  std::int64_t out = 0;
  for (const auto& [lane, uses] : by_lane_) {
    const auto it = uses.find(name);
    out += it == uses.end() ? 0 : it->second;
  }
  return out;
}

}  // namespace comfreyfold
