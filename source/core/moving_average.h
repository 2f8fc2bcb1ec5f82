#ifndef CORE_MOVING_AVERAGE_H_
#define CORE_MOVING_AVERAGE_H_

namespace comfreyfold {

// Returns the exponential moving average `mean` after the value `newest`; a
// mean of 0 has no values yet.
inline double MovingAverage(double mean, double newest) {
  constexpr double kNewestWeight = 0.1;
  return mean == 0 ? newest
                   : mean * (1 - kNewestWeight) + newest * kNewestWeight;
}

}  // namespace comfreyfold

#endif  // CORE_MOVING_AVERAGE_H_
