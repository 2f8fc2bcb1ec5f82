#include "server/daemon.h"

#include <utility>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <nlohmann/json.hpp>

#include "core/call_error.h"

namespace comfreyfold {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kAskTimeout{5000};
constexpr std::chrono::milliseconds kDrainStep{20};

Heartbeat SelfOf(const Settings& settings) {
  Heartbeat out;
  out.daemon = settings.daemon;
  out.data_centre = settings.data_centre;
  out.has_data_folder = !settings.data_folder.empty();
  return out;
}

}  // namespace

Daemon::Daemon(Loop& loop, Settings settings)
    : loop_(loop),
      settings_(std::move(settings)),
      log_(settings_.daemon, settings_.data_centre, settings_.log_file),
      http_(loop),
      server_(
          loop,
          [this](Fiber& fiber,
                 const HttpRequest& request,
                 HttpExchange& exchange) { Handle(fiber, request, exchange); },
          settings_.http),
      kv_(http_, settings_.kv_address, settings_.platform_timeout),
      vms_(http_, settings_.vm_list_address, settings_.platform_timeout),
      membership_(SelfOf(settings_), settings_.heartbeat_timeout),
      contracts_(loop, kv_, log_, settings_.contracts),
      contract_peers_(http_, membership_, contracts_),
      backends_(loop,
                http_,
                vms_,
                log_,
                settings_.vm_list_interval,
                settings_.load_interval),
      lanes_(loop, kv_, log_, membership_, settings_.lanes),
      engines_(http_),
      tools_(http_),
      engine_queue_(loop,
                    backends_,
                    VmRole::kEngine,
                    settings_.decisions,
                    settings_.daemon),
      service_queue_(loop,
                     backends_,
                     VmRole::kService,
                     settings_.decisions,
                     settings_.daemon),
      chooser_(backends_, engine_queue_, service_queue_, settings_.decisions),
      holds_(loop,
             engines_,
             backends_,
             engine_queue_,
             lanes_,
             log_,
             settings_.decisions),
      retries_(settings_.decisions),
      journal_(log_),
      limits_(journal_),
      slots_(loop, lanes_),
      listing_(lanes_, settings_.daemon),
      reaper_(loop, lanes_, contracts_, log_),
      budgets_(loop, kv_, contracts_, log_),
      strays_(loop, engines_, backends_, log_),
      model_runner_(loop,
                    strays_,
                    engines_,
                    backends_,
                    chooser_,
                    journal_,
                    limits_,
                    budgets_,
                    holds_,
                    retries_,
                    settings_.decisions),
      tool_runner_(tools_, backends_, chooser_, journal_, holds_, retries_),
      requests_(journal_),
      runner_(loop,
              lanes_,
              contracts_,
              limits_,
              slots_,
              model_runner_,
              tool_runner_,
              requests_),
      urgent_(tools_, contracts_, backends_, service_queue_, log_),
      releaser_(loop, engines_, lanes_, backends_, log_),
      router_(loop, http_, membership_, runner_, log_, settings_.lanes),
      caller_api_(contracts_, router_, urgent_, log_, settings_.call_deadline),
      peer_api_(membership_, runner_, log_),
      peers_(loop,
             http_,
             kv_,
             log_,
             membership_,
             settings_.heartbeat_interval,
             settings_.member_lease),
      orders_(http_),
      weights_(http_,
               settings_.weight_store_address,
               settings_.platform_timeout),
      fence_(kv_, settings_.daemon, settings_.placement_claim),
      steward_(loop,
               kv_,
               orders_,
               weights_,
               fence_,
               membership_,
               backends_,
               contracts_,
               log_,
               settings_.placement_interval) {}

std::string Daemon::Start() {
  loop_.OnError([this](const char* what) {
    log_.Write({.name = "internal_error", .detail = what});
  });
  const auto address = server_.Listen(settings_.listen);
  membership_.self().address = address;
  log_.Write({.name = "daemon_started", .detail = address});
  contracts_.Start(
      [this](Fiber& fiber) { return contract_peers_.Fetch(fiber); });
  budgets_.Start();
  reaper_.Start();
  backends_.Start();
  lanes_.OnApplied([this](const LaneOwner& owner, const LaneBlock& block) {
    releaser_.Note(owner, block);
  });
  strays_.OnAskEnded([this](Fiber& fiber, const ProgramKey& program) {
    return HasEnded(fiber, program);
  });
  lanes_.OnChange([this] { peers_.Announce(); });
  peers_.Start([this] {
    membership_.self().contracts_revision = contracts_.revision();
    for (const auto& [daemon, heartbeat] : membership_.peers()) {
      contracts_.HeardOf(heartbeat.contracts_revision);
    }
    lanes_.Tick();
    RefreshDecisions();
  });
  releaser_.Start();
  steward_.Start();
  return address;
}

bool Daemon::HasEnded(Fiber& fiber, const ProgramKey& program) {
  ForwardedCall call;
  call.customer = program.customer;
  call.program = program.program;
  call.operation = Operation::kHistory;
  call.deadline = kAskTimeout;
  bool ended = false;
  try {
    router_.Route(fiber, call, [&ended](const AnswerFrame& frame) {
      const auto history = json::parse(frame.content, nullptr, false);
      ended = history.is_object() && history.value("ended", false);
    });
  } catch (const CallError& e) {
    // An ended program leaves the journal once it is released.
    if (e.code() != "no_program") {
      throw;
    }
    ended = true;
  }
  return ended;
}

void Daemon::RefreshDecisions() {
  engine_queue_.Refresh(membership_);
  service_queue_.Refresh(membership_);
  holds_.Prune();
}

void Daemon::Handle(Fiber& fiber,
                    const HttpRequest& request,
                    HttpExchange& exchange) {
  if (caller_api_.Handle(fiber, request, exchange) ||
      peer_api_.Handle(fiber, request, exchange) ||
      contract_peers_.Handle(request, exchange) ||
      listing_.Handle(request, exchange) || HandleOperator(request, exchange)) {
    return;
  }
  exchange.Reply(404, "application/json",
                 R"({"error":{"code":"no_such_path","message":)"
                 R"("see the README for the paths","verdict":"not_run"}})");
}

bool Daemon::ready() const {
  return !membership_.self().draining && contracts_.loaded() &&
         backends_.loaded();
}

bool Daemon::HandleOperator(const HttpRequest& request,
                            HttpExchange& exchange) {
  const auto path = request.Path();
  if (path == "/healthz") {
    exchange.Reply(200, "text/plain", "ok\n");
  } else if (path == "/readyz") {
    exchange.Reply(ready() ? 200 : 503, "text/plain",
                   ready() ? "ready\n" : "not ready\n");
  } else if (path == "/metrics") {
    exchange.Reply(200, "text/plain; version=0.0.4", Metrics());
  } else if (path == "/operator/status") {
    exchange.Reply(200, "application/json", Status());
  } else if (path == "/operator/events") {
    const auto since =
        std::strtoll(("0" + request.Query("since_us")).c_str(), nullptr, 10);
    exchange.Reply(200, "application/x-ndjson",
                   log_.Recent(std::chrono::microseconds(since)));
  } else {
    return false;
  }
  return true;
}

std::string Daemon::Status() const {
  const auto now = std::chrono::steady_clock::now();
  const auto& self = membership_.self();
  json lanes = json::array();
  for (const auto& [lane, owner] : lanes_.owned()) {
    lanes.push_back({{"lane", lane},
                     {"epoch", owner->epoch()},
                     {"blocks", owner->state().last_block()},
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
    backends.push_back(
        {{"id", id},
         {"address", backend.vm.address},
         {"in_flight", backend.in_flight},
         {"leaving",
          backend.draining || backend.vm.state == VmState::kLeaving}});
  }
  return json{{"daemon", self.daemon},
              {"address", self.address},
              {"data_centre", self.data_centre},
              {"ready", ready()},
              {"draining", self.draining},
              {"contracts_revision", contracts_.revision()},
              {"key_value_calls", kv_.calls()},
              {"lanes", lanes},
              {"peers", peers},
              {"backends", backends}}
      .dump();
}

std::string Daemon::Metrics() const {
  prometheus::Registry registry;
  const auto gauge = [&registry](const char* name, const char* help,
                                 double value) {
    prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({})
        .Set(value);
  };
  gauge("comfreyfold_lanes_owned", "Lanes that this daemon owns",
        static_cast<double>(lanes_.owned().size()));
  gauge("comfreyfold_requests_in_flight", "HTTP requests being handled",
        server_.in_flight());
  gauge("comfreyfold_key_value_calls", "Calls to the key-value service",
        static_cast<double>(kv_.calls()));
  gauge("comfreyfold_budget_writes", "Writes to the budget records",
        static_cast<double>(budgets_.writes()));
  gauge("comfreyfold_contracts_revision", "Revision of the contracts",
        static_cast<double>(contracts_.revision()));
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

void Daemon::Drain(std::function<void()> on_drained) {
  log_.Write({.name = "drain_started"});
  membership_.self().draining = true;
  peers_.Announce();
  loop_.Spawn([this, on_drained = std::move(on_drained)](Fiber& fiber) {
    const auto until = std::chrono::steady_clock::now() + settings_.drain_time;
    server_.Drain();
    while (server_.in_flight() > 0 &&
           std::chrono::steady_clock::now() < until) {
      fiber.Sleep(kDrainStep);
    }
    budgets_.GiveBackAll(fiber);
    lanes_.HandOverAll(fiber, settings_.platform_timeout);
    log_.Write({.name = "drain_ended"});
    on_drained();
  });
}

}  // namespace comfreyfold
