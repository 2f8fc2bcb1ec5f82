#include "server/operator_api.h"

#include <charconv>
#include <optional>

#include <nlohmann/json.hpp>

#include "core/call_error.h"

namespace comfreyfold {

namespace {

using nlohmann::json;

std::optional<std::int64_t> ParseNonNegativeQuery(const HttpRequest& request,
                                                  const char* name) {
  const auto text = request.Query(name);
  if (text.empty()) {
    return std::nullopt;
  }
  std::int64_t out = 0;
  const auto* end = text.data() + text.size();
  const auto [last, ec] = std::from_chars(text.data(), end, out);
  if (ec != std::errc() || last != end || out < 0) {
    throw CallError(400, "bad_query",
                    std::string(name) + " must be an integer of at least 0",
                    Verdict::kNotRun);
  }
  return out;
}

json ToJson(const Backend& backend, bool followed) {
  return {
      {"id", backend.vm.id},
      {"followed", followed},
      {"address", backend.vm.address},
      {"in_flight", backend.in_flight},
      {"leaving", backend.draining || backend.vm.state == VmState::kLeaving}};
}

}  // namespace

OperatorApi::OperatorApi(const Membership& membership,
                         const ContractStore& contracts,
                         const BackendDirectory& backends,
                         const LaneManager& lanes,
                         const PeerHolders& holders,
                         const BudgetLedger& budgets,
                         const KvClient& kv,
                         const EventLog& log,
                         Metrics& metrics)
    : membership_(membership),
      contracts_(contracts),
      backends_(backends),
      lanes_(lanes),
      holders_(holders),
      budgets_(budgets),
      kv_(kv),
      log_(log),
      metrics_(metrics) {
  AddGauges();
}

void OperatorApi::AddGauges() {
  const auto count = [](std::size_t n) { return static_cast<double>(n); };
  metrics_.AddGauge("comfreyfold_ready", "1 when callers may be sent here",
                    [this] { return ready() ? 1.0 : 0.0; });
  metrics_.AddGauge("comfreyfold_lanes_owned", "Lanes that this daemon owns",
                    [=, this] { return count(lanes_.owned().size()); });
  metrics_.AddGauge("comfreyfold_programs", "Programs in the lanes owned here",
                    [=, this] {
                      std::size_t programs = 0;
                      for (const auto& [lane, owner] : lanes_.owned()) {
                        programs += owner->state().programs().size();
                      }
                      return count(programs);
                    });
  metrics_.AddGauge("comfreyfold_peers_live", "Other daemons heard of lately",
                    [=, this] {
                      const auto now = std::chrono::steady_clock::now();
                      return count(membership_.EligibleDaemons(now).size()) - 1;
                    });
  metrics_.AddGauge("comfreyfold_spool_held",
                    "Blocks of other daemons' lanes on the disk here",
                    [=, this] { return count(holders_.held()); });
  metrics_.AddGauge(
      "comfreyfold_spool_waiting",
      "Blocks of lanes owned here that the service lacks",
      [=, this] { return count(lanes_.blocks_awaiting_upload()); });
  metrics_.AddGauge("comfreyfold_backends", "Backend servers known",
                    [=, this] { return count(backends_.all().size()); });
  metrics_.AddGauge("comfreyfold_budget_writes", "Writes to the budget records",
                    [this] { return static_cast<double>(budgets_.writes()); });
  metrics_.AddGauge(
      "comfreyfold_contracts_revision", "Revision of the contracts in force",
      [this] { return static_cast<double>(contracts_.revision()); });
}

bool OperatorApi::ready() const {
  return !membership_.self().draining && contracts_.loaded() &&
         backends_.loaded();
}

bool OperatorApi::Handle(const HttpRequest& request, HttpExchange& exchange) {
  const auto path = request.Path();
  if (path == "/healthz") {
    exchange.Reply(200, "text/plain", "ok\n");
  } else if (path == "/readyz") {
    exchange.Reply(ready() ? 200 : 503, "text/plain",
                   ready() ? "ready\n" : "not ready\n");
  } else if (path == "/metrics") {
    exchange.Reply(200, "text/plain; version=0.0.4", metrics_.Scrape());
  } else if (path == "/operator/status") {
    exchange.Reply(200, "application/json", Status());
  } else if (path == "/operator/events") {
    exchange.Reply(200, "application/x-ndjson", Events(request));
  } else {
    return false;
  }
  return true;
}

std::string OperatorApi::Events(const HttpRequest& request) const {
  EventFilter filter;
  filter.program = request.Query("program");
  filter.customer = request.Query("customer");
  if (const auto lane = ParseNonNegativeQuery(request, "lane")) {
    filter.lane = static_cast<int>(*lane);
  }
  filter.since = std::chrono::microseconds(
      ParseNonNegativeQuery(request, "since_us").value_or(0));
  return log_.Recent(filter);
}

std::string OperatorApi::Status() const {
  const auto now = std::chrono::steady_clock::now();
  const auto& self = membership_.self();
  json lanes = json::array();
  for (const auto& [lane, owner] : lanes_.owned()) {
    json holders = json::array();
    for (const auto& it : owner->state().holders()) {
      holders.push_back(it.daemon);
    }
    lanes.push_back({{"lane", lane},
                     {"epoch", owner->epoch()},
                     {"blocks", owner->state().last_block()},
                     {"snapshot", owner->snapshot_block()},
                     {"holders", std::move(holders)},
                     {"programs", owner->state().programs().size()}});
  }
  json peers = json::array();
  for (const auto& [daemon, heartbeat] : membership_.peers()) {
    peers.push_back({{"daemon", daemon},
                     {"address", heartbeat.address},
                     {"data_centre", heartbeat.data_centre},
                     {"live", membership_.IsLive(daemon, now)},
                     {"draining", heartbeat.draining},
                     {"contracts_revision", heartbeat.contracts_revision}});
  }
  json backends = json::array();
  for (const auto& [id, backend] : backends_.all()) {
    backends.push_back(ToJson(backend, backends_.Follows(id)));
  }
  return json{{"daemon", self.daemon},
              {"address", self.address},
              {"data_centre", self.data_centre},
              {"ready", ready()},
              {"draining", self.draining},
              {"contracts_revision", contracts_.revision()},
              {"key_value_calls", kv_.calls()},
              {"lanes", lanes},
              {"spool",
               {{"held", holders_.held()},
                {"waiting", lanes_.blocks_awaiting_upload()}}},
              {"peers", peers},
              {"backends", backends}}
      .dump();
}

}  // namespace comfreyfold
