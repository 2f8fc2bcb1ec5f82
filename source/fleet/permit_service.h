#ifndef FLEET_PERMIT_SERVICE_H_
#define FLEET_PERMIT_SERVICE_H_

#include <chrono>
#include <functional>
#include <map>
#include <string>

#include "core/permit_issuer.h"
#include "fleet/fleet_view.h"
#include "net/http_server.h"
#include "wire/permit_messages.h"

namespace comfreyfold {

// Path at which a storage daemon answers requests for permits.
inline constexpr const char* kPermitPath = "/permits";

// Issues permits for servers with a limit to other daemons.
class PermitService {
 public:
  // `address` is the one at which other daemons reach this one.
  PermitService(FleetView& view, std::string address);

  // Answers the question of another daemon. A daemon that issues no permits
  // answers 404.
  void Handle(const HttpRequest& request, HttpExchange& exchange);

  // Answers a question of this daemon itself, or of another.
  PermitNews Answer(const PermitQuestion& question, TimePoint now);

 private:
  FleetView& view_;
  std::string address_;
  PermitIssuer issuer_;
  std::map<std::string, TimePoint> askers_;  // Times of their last questions.
};

}  // namespace comfreyfold

#endif  // FLEET_PERMIT_SERVICE_H_
