#ifndef CORE_LOAD_REPORT_TABLE_H_
#define CORE_LOAD_REPORT_TABLE_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "core/time_point.h"

namespace comfreyfold {

// The requests of all daemons at a server, as the server reported them to one
// daemon.
struct LoadReport {
  std::string server_id;
  int requests = 0;
  std::chrono::milliseconds age{0};
};

// How a daemon learned of something that daemons tell each other. What comes
// with the answer to its own query needs not be sent back with the next query.
enum class ReportSource { kLocal, kAnswer };

// The newest load report of each server that any daemon has received. In a
// large fleet a single daemon gets a report from a server only every few
// seconds, but all daemons together get many per second.
class LoadReportTable {
 public:
  // Returns false when the table has a report that is at least as new.
  bool Record(const LoadReport& report,
              TimePoint now,
              ReportSource source = ReportSource::kLocal);

  // The reports that this daemon has recorded after `since` and that have not
  // expired. Reports pass through several daemons, so the time at which the
  // server made them does not tell which are new here.
  std::vector<LoadReport> RecordedSince(TimePoint since, TimePoint now) const;
  // The same without those from answers.
  std::vector<LoadReport> LocalSince(TimePoint since, TimePoint now) const;

 private:
  struct Entry {
    int requests = 0;
    TimePoint reported_at{};
    TimePoint recorded_at{};
    ReportSource source = ReportSource::kLocal;
  };

  std::vector<LoadReport> Select(TimePoint since,
                                 TimePoint now,
                                 bool local_only) const;

  std::map<std::string, Entry> entries_;
};

}  // namespace comfreyfold

#endif  // CORE_LOAD_REPORT_TABLE_H_
