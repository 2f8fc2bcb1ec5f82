#include "core/token_ledger.h"

#include <algorithm>
#include <tuple>

namespace comfreyfold {

bool TokenLedger::Merge(const TokenUse& use) {
  const auto [it, added] = uses_.emplace(use.request, use);
  if (added) {
    return true;
  }
  auto& known = it->second;
  const auto before = known;
  known.expires_at = std::max(known.expires_at, use.expires_at);
  if (use.settled && !known.settled) {
    known.settled = true;
    known.tokens = use.tokens;
    known.server = use.server;
  } else if (use.settled == known.settled) {
    // When two replicas differ, the higher value is the safe one.
    known.tokens = std::max(known.tokens, use.tokens);
    known.server = std::max(known.server, use.server);
  }
  const auto choice = std::tie(use.version_choice, use.version);
  if (choice > std::tie(known.version_choice, known.version)) {
    known.version_choice = use.version_choice;
    known.version = use.version;
  }
  return known != before;
}

std::int64_t TokenLedger::total() const {
  std::int64_t out = 0;
  for (const auto& [request, it] : uses_) {
    out += it.tokens;
  }
  return out;
}

std::int64_t TokenLedger::total_without(const std::string& request) const {
  const auto it = uses_.find(request);
  return total() - (it == uses_.end() ? 0 : it->second.tokens);
}

// All uses have the same lifetime, so differences between expiry times equal
// those between start times.
std::int64_t TokenLedger::ReservedByOthers(
    const TokenUse& use,
    std::chrono::milliseconds age) const {
  std::int64_t out = 0;
  for (const auto& [request, it] : uses_) {
    const bool is_recent = it.expires_at + age >= use.expires_at;
    out += request != use.request && !it.settled && is_recent ? it.tokens : 0;
  }
  return out;
}

std::chrono::milliseconds TokenLedger::ProgramAgeAt(const TokenUse& use) const {
  auto first = use.expires_at;
  for (const auto& [request, it] : uses_) {
    first = std::min(first, it.expires_at);
  }
  return use.expires_at - first;
}

// All uses have the same lifetime, so the use that expires last began last.
std::string TokenLedger::LastServer() const {
  const TokenUse* last = nullptr;
  for (const auto& [request, it] : uses_) {
    if (!it.server.empty() &&
        (last == nullptr || it.expires_at > last->expires_at)) {
      last = &it;
    }
  }
  return last == nullptr ? std::string() : last->server;
}

TokenUse TokenLedger::UseOf(const std::string& request) const {
  const auto it = uses_.find(request);
  return it == uses_.end() ? TokenUse{} : it->second;
}

bool TokenLedger::Expired(std::chrono::milliseconds now) const {
  return std::all_of(uses_.begin(), uses_.end(), [now](const auto& it) {
    return it.second.expires_at < now;
  });
}

std::vector<TokenUse> TokenLedgers::Merge(const std::vector<TokenUse>& uses) {
  std::vector<TokenUse> out;
  for (const auto& it : uses) {
    if (programs_[it.program].Merge(it)) {
      out.push_back(it);
    }
  }
  return out;
}

std::vector<TokenUse> TokenLedgers::ForProgram(
    const std::string& program) const {
  std::vector<TokenUse> out;
  const auto found = programs_.find(program);
  if (found != programs_.end()) {
    for (const auto& [request, it] : found->second.uses()) {
      out.push_back(it);
    }
  }
  return out;
}

std::vector<std::string> TokenLedgers::Programs() const {
  std::vector<std::string> out;
  out.reserve(programs_.size());
  for (const auto& [program, ledger] : programs_) {
    out.push_back(program);
  }
  return out;
}

void TokenLedgers::Expire(std::chrono::milliseconds now) {
  // The uses of a program are removed together, because removing one alone
  // would release its tokens.
  std::erase_if(programs_,
                [now](const auto& it) { return it.second.Expired(now); });
}

}  // namespace comfreyfold
