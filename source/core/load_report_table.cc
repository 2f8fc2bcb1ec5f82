#include "core/load_report_table.h"

namespace comfreyfold {

namespace {
// Some lengths of a request: later the load is another.
constexpr std::chrono::milliseconds kOfUse{2000};
}  // namespace

bool LoadReportTable::Record(const LoadReport& note, TimePoint now) {
  auto& entry = entries_[note.server_id];
  const auto told_at = now - note.age;
  if (told_at <= entry.told_at) {
    return false;
  }
  entry = {note.requests, told_at};
  return true;
}

std::vector<LoadReport> LoadReportTable::ReportsSince(TimePoint since,
                                                      TimePoint now) const {
  std::vector<LoadReport> out;
  for (const auto& [id, it] : entries_) {
    if (it.told_at > since && now - it.told_at < kOfUse) {
      out.push_back({id, it.requests,
                     std::chrono::duration_cast<std::chrono::milliseconds>(
                         now - it.told_at)});
    }
  }
  return out;
}

}  // namespace comfreyfold
