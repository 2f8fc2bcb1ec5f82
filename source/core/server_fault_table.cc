#include "core/server_fault_table.h"

namespace comfreyfold {

namespace {
// Longer than a fault takes to reach all daemons.
constexpr std::chrono::milliseconds kLifetime{2500};
constexpr std::chrono::milliseconds kExpiryInterval{500};
// Faults are dropped beyond this number, which bounds the bytes between daemons
// when most servers fail at the same time.
constexpr std::size_t kMaxEntries = 512;
}  // namespace

bool ServerFaultTable::Record(const ServerFault& fault,
                              TimePoint now,
                              ReportSource source) {
  if (now - expired_at_ > kExpiryInterval) {
    expired_at_ = now;
    std::erase_if(entries_, [now](const auto& it) {
      return now - it.second.failed_at > kLifetime;
    });
  }
  if (fault.age > kLifetime || entries_.size() >= kMaxEntries) {
    return false;
  }
  return entries_
      .try_emplace({fault.origin, fault.number},
                   Entry{fault.server_id, now - fault.age, now, source})
      .second;
}

std::vector<ServerFault> ServerFaultTable::RecordedSince(TimePoint since,
                                                         TimePoint now) const {
  return Select(since, now, false);
}

std::vector<ServerFault> ServerFaultTable::LocalSince(TimePoint since,
                                                      TimePoint now) const {
  return Select(since, now, true);
}

std::vector<ServerFault> ServerFaultTable::Select(TimePoint since,
                                                  TimePoint now,
                                                  bool local_only) const {
  std::vector<ServerFault> out;
  for (const auto& [id, it] : entries_) {
    const bool selected = !local_only || it.source == ReportSource::kLocal;
    if (selected && it.recorded_at > since && now - it.failed_at <= kLifetime) {
      out.push_back({it.server_id, id.first, id.second,
                     std::chrono::duration_cast<std::chrono::milliseconds>(
                         now - it.failed_at)});
    }
  }
  return out;
}

}  // namespace comfreyfold
