#ifndef CORE_SERVER_FAULT_TABLE_H_
#define CORE_SERVER_FAULT_TABLE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/load_report_table.h"
#include "core/time_point.h"

namespace comfreyfold {

// A request that a backend server failed or left without an answer, as one
// daemon saw it. `origin` and `number` identify it.
struct ServerFault {
  std::string server_id;
  std::uint64_t origin = 0;  // Of the daemon; random at each of its starts.
  std::int64_t number = 0;   // Of the fault, counted by that daemon.
  std::chrono::milliseconds age{0};
};

// The recent faults of servers that any daemon has seen. A daemon of a large
// fleet sends each server a request every few seconds, so that it would find
// out alone about a failing server only after several failed requests.
class ServerFaultTable {
 public:
  // Returns false if the fault is known or has expired.
  bool Record(const ServerFault& fault,
              TimePoint now,
              ReportSource source = ReportSource::kLocal);

  // The faults that this daemon has recorded after `since`.
  std::vector<ServerFault> RecordedSince(TimePoint since, TimePoint now) const;
  // The same without those from answers.
  std::vector<ServerFault> LocalSince(TimePoint since, TimePoint now) const;

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::string server_id;
    TimePoint failed_at{};
    TimePoint recorded_at{};
    ReportSource source = ReportSource::kLocal;
  };

  std::vector<ServerFault> Select(TimePoint since,
                                  TimePoint now,
                                  bool local_only) const;

  // By origin and number.
  std::map<std::pair<std::uint64_t, std::int64_t>, Entry> entries_;
  TimePoint expired_at_{};
};

}  // namespace comfreyfold

#endif  // CORE_SERVER_FAULT_TABLE_H_
