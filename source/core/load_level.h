#ifndef CORE_LOAD_LEVEL_H_
#define CORE_LOAD_LEVEL_H_

#include "core/time_point.h"

namespace comfreyfold {

// The load level of a service: a moving average, over its servers' reports, of
// the requests per slot that run or wait there. A single busy server is a
// matter of server choice; the average over many servers shows the load.
class LoadLevel {
 public:
  // Adds the report of one server.
  void Record(int requests, int slots, TimePoint now);
  // Decays towards 0 while no server reports.
  double At(TimePoint now) const;

 private:
  double mean_ = 0;
  TimePoint recorded_at_{};
};

}  // namespace comfreyfold

#endif  // CORE_LOAD_LEVEL_H_
