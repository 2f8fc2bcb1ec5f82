#ifndef CORE_BACKEND_HEALTH_H_
#define CORE_BACKEND_HEALTH_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "core/decision_settings.h"
#include "core/time_point.h"

namespace comfreyfold {

// Which backend servers fail the calls they get. A server that fails
// several in a row is ejected for a time that doubles at each relapse, and
// comes back with few calls at first.
class BackendHealth {
 public:
  explicit BackendHealth(const DecisionSettings& settings)
      : settings_(settings) {}

  void Succeeded(const std::string& id);
  void Failed(const std::string& id, TimePoint now);
  void Remove(const std::string& id) { servers_.erase(id); }

  // Those of `ids` that may get calls now. Never empty unless `ids` is, and
  // never fewer than the settings let remain. `in_flight` are a server's
  // calls of this daemon, which a server on trial may have only few of.
  struct Candidate {
    std::string id;
    int in_flight = 0;
  };
  std::vector<std::string> Usable(const std::vector<Candidate>& candidates,
                                  TimePoint now) const;

  bool IsEjected(const std::string& id, TimePoint now) const;

 private:
  struct Server {
    int failures = 0;  // In a row.
    int ejections = 0;
    int allowance = 0;  // Most calls at a time on trial; 0: not on trial.
    TimePoint ejected_until;
  };
  const DecisionSettings& settings_;
  std::map<std::string, Server> servers_;
};

}  // namespace comfreyfold

#endif  // CORE_BACKEND_HEALTH_H_
