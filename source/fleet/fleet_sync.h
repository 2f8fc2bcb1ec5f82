#ifndef FLEET_FLEET_SYNC_H_
#define FLEET_FLEET_SYNC_H_

#include <chrono>
#include <functional>
#include <map>
#include <optional>
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
  // `address` is the one at which other daemons reach this daemon; empty if it
  // serves no clients.
  void ShareLoads(std::string address,
                  std::function<void(const LoadReport&)> on_load) {
    address_ = std::move(address);
    on_load_ = std::move(on_load);
  }
  // The same for the faults of servers that other daemons have seen.
  void OnFault(std::function<void(const ServerFault&)> hook) {
    on_fault_ = std::move(hook);
  }

  // Sets a function that is called when other daemons have told of limits of
  // servers that differ from what this daemon knew.
  void OnLimits(std::function<void()> hook) { on_limits_ = std::move(hook); }

  // Sets what the disk `disk` of this daemon keeps, for daemons that start
  // while the key-value service does not answer.
  void OfferKept(std::string disk, std::function<KeptFleet()> kept) {
    disk_ = std::move(disk);
    kept_ = std::move(kept);
  }
  // Lets this daemon take over what enough disks keep while it has heard
  // nothing newer.
  void UseKept(int tolerated_losses) { tolerated_losses_ = tolerated_losses; }

  // Sets the age from which on the view is stale and further daemons are
  // queried.
  void SetMaxAge(std::chrono::milliseconds age) { max_age_ = age; }

  // Sets a function that returns the addresses of the daemons to query, most
  // preferred first. It is called before each round of queries.
  void SetSources(std::function<std::vector<std::string>()> sources) {
    sources_ = std::move(sources);
  }

  // Sets a function that returns the time between two queries.
  void SetInterval(std::function<std::chrono::milliseconds()> interval) {
    interval_ = std::move(interval);
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
  // Queries the preferred source, and some others if the view is not fresh
  // then.
  void QueryRound(Fiber& fiber, const std::vector<std::string>& sources);
  // Queries all `addresses` in parallel and waits for the end of the queries.
  void QueryAll(Fiber& fiber, const std::vector<std::string>& addresses);
  // Returns a few sources other than the preferred one, others each time.
  std::vector<std::string> FurtherSources(
      const std::vector<std::string>& sources);
  bool QueryOne(Fiber& fiber, const std::string& address);
  // The time for which a source tells this daemon what it has heard.
  std::chrono::milliseconds ReportWindow(const std::string& address,
                                         TimePoint now) const;
  // Returns some of the daemons that serve clients, for the one at `asker`,
  // which is empty if it serves none.
  std::vector<std::string> PeersFor(const std::string& asker);
  void Apply(const FleetNews& news, const std::string& address);
  void ApplyConfig(const FleetNews& news, const std::string& address);
  void ApplyReports(const FleetNews& news);
  void ApplySuspectRuns(const FleetNews& news);
  void RecordLimits(const std::vector<ServerLimit>& limits);
  // Takes over what enough disks keep, if this daemon has no configuration.
  void ApplyKept();

  Loop& loop_;
  HttpClient& http_;
  FleetView& view_;
  DecisionLog& log_;
  std::function<RoutingConfig(const std::string&)> decode_config_;
  std::function<std::vector<std::string>()> sources_;
  std::function<void(const LoadReport&)> on_load_;
  std::chrono::milliseconds max_age_{0};
  std::function<std::chrono::milliseconds()> interval_;
  TimePoint loads_sent_until_{};
  // The daemon that answered last has quarantined other requests.
  bool quarantine_differs_ = false;
  // The daemon that answered last knows other limits of servers.
  bool limits_differ_ = false;
  std::uint64_t limits_sent_ = 0;  // Changes that were sent to it.
  std::function<void()> on_limits_;
  // The source that answered last, and when it was queried.
  std::string last_source_;
  TimePoint last_queried_at_{};
  std::string address_;
  // Times of the last queries from other daemons, by their addresses.
  std::map<std::string, TimePoint> recent_peers_;
  std::size_t next_peer_ = 0;
  std::function<void(const ServerFault&)> on_fault_;
  std::string disk_;
  std::function<KeptFleet()> kept_;
  std::optional<int> tolerated_losses_;  // Null if kept state is not used.
  KeptFleetQuorum kept_quorum_;
  bool preferred_answered_ = true;
  std::string fresh_source_;  // The last one that made the view fresh.
  std::size_t next_source_ = 0;
  TimePoint further_queried_at_{};
};

}  // namespace comfreyfold

#endif  // FLEET_FLEET_SYNC_H_
