#include "core/settlement_queue.h"

#include <algorithm>
#include <utility>

namespace comfreyfold {

namespace {
// Enough for several minutes of a daemon's turns while no replica answers.
constexpr std::size_t kMaxSettlements = 20000;
}  // namespace

bool SettlementQueue::Add(TokenUse use, TimePoint now) {
  if (settlements_.size() >= kMaxSettlements) {
    return false;
  }
  settlements_.push_back({std::move(use), now + delay_});
  return true;
}

std::vector<TokenUse> SettlementQueue::ForProgram(
    const std::string& program) const {
  std::vector<TokenUse> out;
  for (const auto& it : settlements_) {
    if (it.use.program == program) {
      out.push_back(it.use);
    }
  }
  return out;
}

void SettlementQueue::Remove(const std::vector<TokenUse>& stored) {
  std::erase_if(settlements_, [&stored](const Settlement& it) {
    return std::any_of(
        stored.begin(), stored.end(),
        [&it](const TokenUse& use) { return use.request == it.use.request; });
  });
}

std::vector<TokenUse> SettlementQueue::TakeDue(TimePoint now) {
  std::vector<TokenUse> out;
  for (const auto& it : settlements_) {
    if (it.due <= now) {
      out.push_back(it.use);
    }
  }
  Remove(out);
  return out;
}

}  // namespace comfreyfold
