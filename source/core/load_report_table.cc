#include "core/load_report_table.h"

namespace comfreyfold {

namespace {
// A few request durations, after which the load has changed.
constexpr std::chrono::milliseconds kReportLifetime{2000};
}  // namespace

bool LoadReportTable::Record(const LoadReport& report,
                             TimePoint now,
                             ReportSource source) {
  auto& entry = entries_[report.server_id];
  const auto reported_at = now - report.age;
  if (reported_at <= entry.reported_at) {
    return false;
  }
  entry = {report.requests, reported_at, now, source};
  return true;
}

std::vector<LoadReport> LoadReportTable::RecordedSince(TimePoint since,
                                                       TimePoint now) const {
  return Select(since, now, false);
}

std::vector<LoadReport> LoadReportTable::LocalSince(TimePoint since,
                                                    TimePoint now) const {
  return Select(since, now, true);
}

std::vector<LoadReport> LoadReportTable::Select(TimePoint since,
                                                TimePoint now,
                                                bool local_only) const {
  std::vector<LoadReport> out;
  for (const auto& [id, it] : entries_) {
    const bool selected = !local_only || it.source == ReportSource::kLocal;
    if (selected && it.recorded_at > since &&
        now - it.reported_at < kReportLifetime) {
      out.push_back({id, it.requests,
                     std::chrono::duration_cast<std::chrono::milliseconds>(
                         now - it.reported_at)});
    }
  }
  return out;
}

}  // namespace comfreyfold
