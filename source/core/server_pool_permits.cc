#include <algorithm>

#include "core/moving_average.h"
#include "core/server_pool.h"

namespace comfreyfold {

namespace {

// A longer time without a permit tells of little demand, not of few permits.
constexpr std::chrono::milliseconds kMaxPermitInterval{2000};

}  // namespace

bool ServerPool::NeedsPermit(const Server& server) const {
  return permits_ != nullptr &&
         permits_->NeedsPermit(server.info.id, server.info.started);
}

bool ServerPool::IsExhausted(const Server& server, TimePoint now) const {
  return NeedsPermit(server) &&
         !permits_->WaitFor(server.info.id, 0, now).has_value();
}

std::optional<double> ServerPool::PermitWaitMs(const Server& server,
                                               TimePoint now) const {
  if (!NeedsPermit(server)) {
    return 0;
  }
  const auto claims = claims_.find(server.info.id);
  const auto out = permits_->WaitFor(
      server.info.id, claims == claims_.end() ? 0 : claims->second, now);
  return out ? std::optional(static_cast<double>(out->count())) : std::nullopt;
}

bool ServerPool::IsOnlyLimited(TimePoint now) const {
  return std::all_of(
      servers_.begin(), servers_.end(), [this, now](const auto& it) {
        return !IsUsable(it.second, now) || NeedsPermit(it.second);
      });
}

// The load of a server with a limit says nothing about how many more requests
// it takes. Without further permits it is full; whether others are is for them
// to tell.
void ServerPool::RecordLevel(const Server& server,
                             int requests,
                             int slots,
                             TimePoint now) {
  if (!IsExhausted(server, now)) {
    level_.Record(requests, slots, now);
  } else if (IsOnlyLimited(now)) {
    level_.Record(std::max(requests, slots), slots, now);
  }
}

// Uses a permit if the server needs one.
void ServerPool::UsePermit(const Server& server, TimePoint now) {
  if (!NeedsPermit(server) || !permits_->Take(server.info.id, now)) {
    return;
  }
  const std::chrono::duration<double, std::milli> interval =
      std::min<TimePoint::duration>(now - permit_used_at_, kMaxPermitInterval);
  permit_interval_ms_ = MovingAverage(permit_interval_ms_, interval.count());
  permit_used_at_ = now;
}

void ServerPool::UpdateWantedPermits(TimePoint now) {
  if (permits_ == nullptr || !permits_->AnyLimits()) {
    return;
  }
  for (const auto& [id, it] : servers_) {
    const auto claims = claims_.find(id);
    permits_->SetWanted(id, claims == claims_.end() ? 0 : claims->second, now);
  }
}

// Permits come at the rate at which this daemon got them lately.
std::optional<std::chrono::milliseconds> ServerPool::ExpectedPermitWait(
    std::ptrdiff_t ahead,
    TimePoint now) const {
  auto retry_at = TimePoint::max();
  for (const auto& [id, it] : servers_) {
    if (IsUsable(it, now) && NeedsPermit(it)) {
      retry_at = std::min(retry_at, permits_->RetryAt(id, now));
    }
  }
  if (retry_at == TimePoint::max()) {
    return std::nullopt;
  }
  const auto first = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(TimePoint::duration(0), retry_at - now));
  return first + std::chrono::milliseconds(static_cast<std::int64_t>(
                     permit_interval_ms_ * static_cast<double>(ahead)));
}

}  // namespace comfreyfold
