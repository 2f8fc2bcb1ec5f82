#ifndef STANDINS_SERVICE_H_
#define STANDINS_SERVICE_H_

#include "net/http_server.h"

namespace comfreyfold::standins {

// One stand-in: a fake of an outside system at its HTTP interface.
class Service {
 public:
  virtual ~Service() = default;
  virtual void Handle(Fiber& fiber,
                      const HttpRequest& request,
                      HttpExchange& exchange) = 0;
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_SERVICE_H_
