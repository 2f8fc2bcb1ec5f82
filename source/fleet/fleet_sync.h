#ifndef FLEET_FLEET_SYNC_H_
#define FLEET_FLEET_SYNC_H_

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/routing.h"
#include "fleet/decision_log.h"
#include "fleet/fleet_view.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "wire/fleet_messages.h"

namespace comfreyfold {

// Path under which a daemon tells others what it knows.
inline constexpr const char* kFleetPath = "/fleet";

// Passes on between daemons what they know of the deployment, so that few of
// them read the key-value service and one that it turns away still learns.
class FleetSync {
 public:
  FleetSync(Loop& loop,
            HttpClient& http,
            FleetView& view,
            DecisionLog& log,
            std::function<RoutingConfig(const std::string&)> decode_config);

  // This daemon sends requests to servers: it tells what they say of their
  // load, and `heard` is told what they said to others.
  // `address` is where others reach it.
  void ShareLoads(std::string address,
                  std::function<void(const LoadReport&)> heard) {
    address_ = std::move(address);
    heard_ = std::move(heard);
  }

  // News older than that are asked for at further daemons.
  void StaleAfter(std::chrono::milliseconds age) { stale_after_ = age; }

  // Daemons to ask, the preferred first; asked anew each time.
  void AskFrom(std::function<std::vector<std::string>()> sources) {
    sources_ = std::move(sources);
  }

  void Run(Fiber& fiber);
  void Handle(const HttpRequest& request, HttpExchange& exchange);

  // Whether what is known was confirmed by the service lately, by whoever.
  bool Fresh() const;
  bool FresherThan(std::chrono::milliseconds age) const;

 private:
  bool AskOne(Fiber& fiber, const std::string& address);
  std::vector<std::string> SomeAskers(const std::string& but);
  void Apply(const FleetNews& news, const std::string& address);

  Loop& loop_;
  HttpClient& http_;
  FleetView& view_;
  DecisionLog& log_;
  std::function<RoutingConfig(const std::string&)> decode_config_;
  std::function<std::vector<std::string>()> sources_;
  std::function<void(const LoadReport&)> heard_;
  std::chrono::milliseconds stale_after_{0};
  TimePoint told_until_{};
  std::string address_;
  std::map<std::string, TimePoint> askers_;  // By address, when they asked.
  std::size_t next_asker_ = 0;
};

}  // namespace comfreyfold

#endif  // FLEET_FLEET_SYNC_H_
