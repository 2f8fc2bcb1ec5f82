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

// Path at which a daemon answers requests for its view of the deployment.
inline constexpr const char* kFleetPath = "/fleet";

// Exchanges views of the deployment between daemons. Few daemons then have to
// read the key-value service, and a daemon that cannot reach it still gets
// updates.
class FleetSync {
 public:
  FleetSync(Loop& loop,
            HttpClient& http,
            FleetView& view,
            DecisionLog& log,
            std::function<RoutingConfig(const std::string&)> decode_config);

  // Exchanges server loads with other daemons: sends the loads that this daemon
  // has recorded, and calls `on_load` for each newer load received from others.
  // `address` is the one at which other daemons reach this daemon.
  void ShareLoads(std::string address,
                  std::function<void(const LoadReport&)> on_load) {
    address_ = std::move(address);
    on_load_ = std::move(on_load);
  }

  // Sets the age from which on the view is stale and further daemons are
  // queried.
  void SetMaxAge(std::chrono::milliseconds age) { max_age_ = age; }

  // Sets a function that returns the addresses of the daemons to query, most
  // preferred first. It is called before each round of queries.
  void SetSources(std::function<std::vector<std::string>()> sources) {
    sources_ = std::move(sources);
  }

  // Queries the sources at regular intervals. Does not return.
  void Run(Fiber& fiber);
  // Answers the query of another daemon.
  void Handle(const HttpRequest& request, HttpExchange& exchange);

  // Whether the view is complete and was confirmed by the key-value service, to
  // this or another daemon, within the age set by SetMaxAge().
  bool IsFresh() const;
  // The same, within `age`.
  bool IsFresherThan(std::chrono::milliseconds age) const;

 private:
  bool QueryOne(Fiber& fiber, const std::string& address);
  // Returns some of the daemons that sent queries recently, except `excluded`.
  std::vector<std::string> RecentPeers(const std::string& excluded);
  void Apply(const FleetNews& news, const std::string& address);

  Loop& loop_;
  HttpClient& http_;
  FleetView& view_;
  DecisionLog& log_;
  std::function<RoutingConfig(const std::string&)> decode_config_;
  std::function<std::vector<std::string>()> sources_;
  std::function<void(const LoadReport&)> on_load_;
  std::chrono::milliseconds max_age_{0};
  TimePoint loads_sent_until_{};
  std::string address_;
  // Times of the last queries from other daemons, by their addresses.
  std::map<std::string, TimePoint> recent_peers_;
  std::size_t next_peer_ = 0;
};

}  // namespace comfreyfold

#endif  // FLEET_FLEET_SYNC_H_
