#ifndef STANDINS_WEIGHT_STORE_SERVICE_H_
#define STANDINS_WEIGHT_STORE_SERVICE_H_

#include <chrono>
#include <map>
#include <string>

#include "standins/faults.h"
#include "standins/service.h"

namespace comfreyfold::standins {

// Stand-in for the weight store: GET /weights/<model>/<version> returns the
// location of the weights. Reads above the limit per second are answered with
// 429.
class WeightStoreService : public Service {
 public:
  explicit WeightStoreService(int reads_per_second)
      : reads_per_second_(reads_per_second) {}
  void Handle(Fiber& fiber,
              const HttpRequest& request,
              HttpExchange& exchange) override;

 private:
  // Counts a read; returns whether it is within the limit.
  bool CountRead();

  int reads_per_second_;
  Faults faults_;
  std::chrono::steady_clock::time_point window_start_{};
  int reads_in_window_ = 0;
  std::map<std::string, int> reads_by_version_;  // By "<model>/<version>".
  int refused_count_ = 0;
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_WEIGHT_STORE_SERVICE_H_
