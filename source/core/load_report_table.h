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

// The newest load report of each server that any daemon has received. In a
// large fleet a single daemon gets a report from a server only every few
// seconds, but all daemons together get many per second.
class LoadReportTable {
 public:
  // Returns false when the table has a report that is at least as new.
  bool Record(const LoadReport& report, TimePoint now);

  // The reports made after `since` that have not expired.
  std::vector<LoadReport> ReportsSince(TimePoint since, TimePoint now) const;

 private:
  struct Entry {
    int requests = 0;
    TimePoint reported_at{};
  };

  std::map<std::string, Entry> entries_;
};

}  // namespace comfreyfold

#endif  // CORE_LOAD_REPORT_TABLE_H_
