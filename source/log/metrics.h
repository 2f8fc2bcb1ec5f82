#ifndef LOG_METRICS_H_
#define LOG_METRICS_H_

#include <chrono>
#include <cstddef>
#include <functional>
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

  // A call of a caller that ended here with `code` ("ok" or an error code).
  void CountCall(const std::string& operation,
                 const std::string& code,
                 Duration time);
  void CountRefusal(const std::string& code, const std::string& verdict);
  void ObserveFirstToken(Duration time);
  void ObserveTokenGap(Duration time);
  void CountKeyValueCall(const std::string& kind, bool answered, Duration time);
  // A block of so many entries was committed to a lane's journal.
  void ObserveCommit(std::size_t entries);
  void CountEvent(const std::string& name);
  // Bytes written to a connection, by what the traffic is for.
  void CountSentBytes(const std::string& traffic, std::size_t bytes);
  // Requests being handled now, by the role that handles them.
  void AddInFlight(const std::string& role, int change);

  // A gauge whose value is read at each scrape.
  void AddGauge(const std::string& name,
                const std::string& help,
                std::function<double()> read);

  // Everything in the Prometheus text form.
  std::string Scrape();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Counts one request as in flight while it lives.
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
