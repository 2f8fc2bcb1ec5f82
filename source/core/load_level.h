#ifndef CORE_LOAD_LEVEL_H_
#define CORE_LOAD_LEVEL_H_

#include "core/time_point.h"

namespace comfreyfold {

// How busy the servers of a service are, as these told of late: the mean number
// of requests that they run or let wait, for each slot. One busy server is the
// choice of a server; the mean of many is the load.
class LoadLevel {
 public:
  // A server told of its requests.
  void Note(int requests, int slots, TimePoint now);
  // Fades when no server tells anything.
  double At(TimePoint now) const;

 private:
  double mean_ = 0;
  TimePoint noted_at_{};
};

}  // namespace comfreyfold

#endif  // CORE_LOAD_LEVEL_H_
