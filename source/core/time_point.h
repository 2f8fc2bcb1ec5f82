#ifndef CORE_TIME_POINT_H_
#define CORE_TIME_POINT_H_

#include <chrono>

namespace comfreyfold {

using TimePoint = std::chrono::steady_clock::time_point;

}  // namespace comfreyfold

#endif  // CORE_TIME_POINT_H_
