#ifndef CORE_LOAD_REPORT_TABLE_H_
#define CORE_LOAD_REPORT_TABLE_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "core/time_point.h"

namespace comfreyfold {

// Requests that a server has from all daemons, as it told one of them.
struct LoadReport {
  std::string server_id;
  int requests = 0;
  std::chrono::milliseconds age{0};  // Since the server told it.
};

// The newest load that any daemon was told by each server. In a large fleet a
// daemon hears from a server every few seconds only; all together hear from
// each many times a second.
class LoadReportTable {
 public:
  // False when something newer is known.
  bool Record(const LoadReport& note, TimePoint now);

  // What was told since `since`, and is not older than it is of use.
  std::vector<LoadReport> ReportsSince(TimePoint since, TimePoint now) const;

 private:
  struct Entry {
    int requests = 0;
    TimePoint told_at{};
  };

  std::map<std::string, Entry> entries_;
};

}  // namespace comfreyfold

#endif  // CORE_LOAD_REPORT_TABLE_H_
