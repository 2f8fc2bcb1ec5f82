#ifndef STANDINS_WEIGHT_STORE_SERVICE_H_
#define STANDINS_WEIGHT_STORE_SERVICE_H_

#include <chrono>
#include <map>
#include <string>

#include "standins/faults.h"
#include "standins/service.h"

namespace comfreyfold::standins {

// The weight store: GET /weights/<model>/<version> says where the weights
// lie, at most so many times a second; more is answered 429.
class WeightStoreService : public Service {
 public:
  explicit WeightStoreService(int reads_per_second)
      : reads_per_second_(reads_per_second) {}
  void Handle(Fiber& fiber,
              const HttpRequest& request,
              HttpExchange& exchange) override;

 private:
  bool Allowed();

  int reads_per_second_;
  Faults faults_;
  std::chrono::steady_clock::time_point second_{};
  int reads_ = 0;
  std::map<std::string, int> served_;
  int refused_ = 0;
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_WEIGHT_STORE_SERVICE_H_
