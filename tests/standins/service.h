#ifndef STANDINS_SERVICE_H_
#define STANDINS_SERVICE_H_

#include "net/http_server.h"

namespace comfreyfold::standins {

// A stand-in: a simulation of an outside system behind its HTTP interface.
class Service {
 public:
  virtual ~Service() = default;
  virtual void Handle(Fiber& fiber,
                      const HttpRequest& request,
                      HttpExchange& exchange) = 0;
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_SERVICE_H_
