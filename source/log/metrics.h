#ifndef LOG_METRICS_H_
#define LOG_METRICS_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace comfreyfold {

// The daemon's counters, gauges and histograms (prometheus-cpp). Names and
// labels are listed in docs/OPERATIONS.md.
class Metrics {
 public:
  using Duration = std::chrono::steady_clock::duration;

  Metrics();
  ~Metrics();

  // Counts a client's call that ended at this daemon with `code` ("ok" or an
  // error code) and records its duration.
  void CountCall(const std::string& operation,
                 const std::string& code,
                 Duration duration);
  void CountRefusal(const std::string& code, const std::string& verdict);
  void ObserveFirstToken(Duration duration);
  void ObserveTokenGap(Duration duration);
  // Records how long a turn was waited for to be on enough disks, and whether
  // it got there.
  void ObserveTurnStore(bool stored, Duration duration);
  void CountKeyValueCall(const std::string& kind,
                         bool answered,
                         Duration duration);
  // Records the number of entries in a block committed to a lane's journal.
  void ObserveCommit(std::size_t entries);
  void CountEvent(const std::string& name);
  // Counts bytes written to connections, by kind of traffic.
  void CountSentBytes(const std::string& traffic, std::size_t bytes);
  // Adds `change` to the number of requests being handled, by role.
  void AddInFlight(const std::string& role, int change);

  // Registers a gauge whose value is read by `read` at each scrape.
  void AddGauge(const std::string& name,
                const std::string& help,
                std::function<double()> read);

  // Registers a gauge with one value for each value of the label `label`.
  void AddGauges(const std::string& name,
                 const std::string& help,
                 const std::string& label,
                 std::function<std::map<std::string, double>()> read);

  // Returns all metrics in the Prometheus text format.
  std::string Scrape();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Counts one request as in flight for the lifetime of this object.
class InFlightGuard {
 public:
  InFlightGuard(Metrics& metrics, std::string role)
      : metrics_(metrics), role_(std::move(role)) {
    metrics_.AddInFlight(role_, 1);
  }
  ~InFlightGuard() { metrics_.AddInFlight(role_, -1); }
  InFlightGuard(const InFlightGuard&) = delete;
  InFlightGuard& operator=(const InFlightGuard&) = delete;

 private:
  Metrics& metrics_;
  std::string role_;
};

}  // namespace comfreyfold

#endif  // LOG_METRICS_H_
