#include "core/permit_issuer.h"

#include <algorithm>
#include <cstddef>
#include <set>

namespace comfreyfold {

namespace {

// Permits are issued this long before they become valid. Requests can wait for
// such a permit instead of asking again and again.
constexpr std::chrono::milliseconds kMaxValidIn{300};
constexpr std::chrono::milliseconds kMinRetryIn{20};
constexpr std::chrono::milliseconds kUnusedEntryLifetime{60000};
constexpr std::size_t kEntriesBeforeCleanup = 4096;

std::chrono::milliseconds CeilMs(TimePoint::duration time) {
  return std::chrono::ceil<std::chrono::milliseconds>(time);
}

}  // namespace

// Issuers in different data centres fail independently.
std::vector<std::string> PermitIssuersOf(const StorageList& list) {
  const auto members = list.AllMembers();
  std::vector<std::string> out;
  std::vector<std::string> others;
  std::set<std::string> data_centres;
  for (const auto& it : members) {
    auto& group = data_centres.insert(it.data_centre).second ? out : others;
    group.push_back(it.address);
  }
  out.insert(out.end(), others.begin(), others.end());
  out.resize(std::min<std::size_t>(out.size(), kPermitIssuers));
  return out;
}

PermitIssuer::PermitIssuer(TimePoint started)
    : silent_until_(started + kMaxValidIn + kPermitLifetime) {}

PermitReply PermitIssuer::Issue(const PermitRequest& request,
                                double per_second,
                                TimePoint now) {
  PermitReply out;
  out.server_id = request.server_id;
  if (now < silent_until_) {
    out.retry_in = CeilMs(silent_until_ - now);
    return out;
  }
  if (last_issued_.size() > kEntriesBeforeCleanup) {
    std::erase_if(last_issued_, [now](const auto& it) {
      return now - it.second > kUnusedEntryLifetime;
    });
  }
  const std::chrono::duration<double> interval(
      kPermitIssuers / std::max(per_second, kMinServerRate));
  const auto step = std::chrono::duration_cast<TimePoint::duration>(interval);
  auto& last =
      last_issued_.try_emplace(request.server_id, kDistantPast).first->second;
  auto next = std::max(now, last + step);
  for (int n = 0; n < request.wanted && next - now <= kMaxValidIn; ++n) {
    out.valid_in.push_back(CeilMs(next - now));
    last = next;
    next += step;
  }
  if (out.valid_in.size() < static_cast<std::size_t>(request.wanted)) {
    out.retry_in = std::max(kMinRetryIn, CeilMs(next - now - kMaxValidIn));
  }
  return out;
}

}  // namespace comfreyfold
