#ifndef CORE_BACKEND_HEALTH_H_
#define CORE_BACKEND_HEALTH_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "core/decision_settings.h"
#include "core/time_point.h"

namespace comfreyfold {

// Outlier detection: tracks which backend servers fail their calls. A server
// that fails several calls in a row is ejected for a time that doubles with
// each ejection, and then takes few calls at first.
class BackendHealth {
 public:
  explicit BackendHealth(const DecisionSettings& settings)
      : settings_(settings) {}

  void Succeeded(const std::string& id);
  void Failed(const std::string& id, TimePoint now);
  void Remove(const std::string& id) { servers_.erase(id); }

  struct Candidate {
    std::string id;
    int in_flight = 0;  // Calls of this daemon; limited during probation.
  };
  // Returns the candidates that may get calls now. Never returns fewer than the
  // settings require, and none only if there are no candidates.
  std::vector<std::string> Usable(const std::vector<Candidate>& candidates,
                                  TimePoint now) const;

  bool IsEjected(const std::string& id, TimePoint now) const;

 private:
  struct Server {
    int consecutive_failures = 0;
    int ejections = 0;
    int probation_limit = 0;  // Concurrent calls; 0: not on probation.
    TimePoint ejected_until;
  };
  const DecisionSettings& settings_;
  std::map<std::string, Server> servers_;
};

}  // namespace comfreyfold

#endif  // CORE_BACKEND_HEALTH_H_
