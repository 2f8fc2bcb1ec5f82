#ifndef CORE_QUEUE_PRESSURE_H_
#define CORE_QUEUE_PRESSURE_H_

#include "core/time_point.h"

namespace comfreyfold {

// How long the queues at servers are, as these told of late: the mean number of
// requests that wait there for each slot. One server's queue is the choice of
// a server; the mean of many is the load.
class QueuePressure {
 public:
  // A server told of `requests` that it runs or lets wait.
  void Note(int requests, int slots, TimePoint now);
  // Fades when no server tells anything.
  double At(TimePoint now) const;

 private:
  double mean_ = 0;
  TimePoint noted_at_{};
};

}  // namespace comfreyfold

#endif  // CORE_QUEUE_PRESSURE_H_
