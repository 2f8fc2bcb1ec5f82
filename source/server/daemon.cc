#include "server/daemon.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "core/call_error.h"
#include "net/error_reply.h"
#include "server/lane_count.h"
#include "server/peer_protocol.h"

namespace comfreyfold {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kHistoryRequestTimeout{5000};
constexpr std::chrono::milliseconds kDrainPollInterval{20};
constexpr std::chrono::milliseconds kLaneCountRetryDelay{500};
constexpr std::chrono::milliseconds kPeersPollInterval{20};

std::unique_ptr<BlockSpool> OpenSpool(const Settings& settings, EventLog& log) {
  return settings.data_folder.empty()
             ? nullptr
             : std::make_unique<BlockSpool>(settings.data_folder, log);
}

Heartbeat InitialHeartbeat(const Settings& settings, const BlockSpool* spool) {
  Heartbeat out;
  out.daemon = settings.daemon;
  out.data_centre = settings.data_centre;
  out.spool = spool == nullptr ? std::string() : spool->id();
  // A restarted daemon needs a higher incarnation than before, so that reports
  // of the earlier process's death do not apply to it.
  out.incarnation = std::chrono::duration_cast<std::chrono::microseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  return out;
}

bool StartsWith(const std::string& text, const char* prefix) {
  return text.rfind(prefix, 0) == 0;
}

// The value of the metrics' labels `traffic` and `role` for a request path.
std::string TrafficClass(const std::string& path) {
  if (StartsWith(path, "/v1/")) {
    return "entry";
  }
  if (StartsWith(path, "/v3/")) {
    return "key_value";
  }
  if (path == kCallPath) {
    return "owner";
  }
  return StartsWith(path, kPeerPrefix) ? "control" : "other";
}

}  // namespace

Daemon::Daemon(Loop& loop, Settings settings)
    : loop_(loop),
      settings_(std::move(settings)),
      peer_secret_(settings_.peer_secret_file),
      log_(settings_.daemon,
           settings_.data_centre,
           settings_.log_file,
           static_cast<std::size_t>(settings_.recent_events_bytes)),
      http_(loop),
      server_(
          loop,
          [this](Fiber& fiber,
                 const HttpRequest& request,
                 HttpExchange& exchange) { Handle(fiber, request, exchange); },
          settings_.http),
      kv_(http_, settings_.kv_address, settings_.platform_timeout),
      vms_(http_, settings_.vm_list_address, settings_.platform_timeout),
      spool_(OpenSpool(settings_, log_)),
      membership_(InitialHeartbeat(settings_, spool_.get()),
                  settings_.heartbeat_timeout),
      holders_(http_, kv_, membership_, spool_.get(), log_),
      contracts_(loop, kv_, log_, settings_.contracts),
      contract_peers_(http_, membership_, contracts_),
      backends_(loop,
                http_,
                vms_,
                log_,
                settings_.vm_list_interval,
                settings_.load_interval,
                LoadFollowers(settings_.daemon, settings_.followers)),
      announcer_(loop, http_, membership_, backends_, log_),
      lanes_(loop,
             kv_,
             log_,
             membership_,
             settings_.lane,
             settings_.lanes,
             &holders_),
      compactor_(loop, lanes_, log_),
      engines_(http_, settings_.token_coalescing),
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
      outcome_relay_(http_, membership_, lanes_, log_),
      journal_(log_, outcome_relay_),
      limits_(journal_),
      slots_(loop, lanes_),
      listing_(lanes_, settings_.daemon),
      reaper_(loop, lanes_, contracts_, log_),
      budgets_(loop, kv_, contracts_, log_),
      orphaned_holds_(loop, engines_, backends_, log_),
      grant_use_reporter_(lanes_, budgets_.run()),
      grant_recall_(http_, membership_, budgets_),
      reclaimer_(loop,
                 http_,
                 kv_,
                 membership_,
                 grant_use_reporter_,
                 log_,
                 budgets_.run(),
                 settings_.lanes),
      model_runner_(loop,
                    orphaned_holds_,
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
              requests_,
              log_),
      urgent_(tools_, contracts_, backends_, service_queue_, log_),
      releaser_(loop, engines_, lanes_, backends_, log_),
      router_(loop, http_, membership_, runner_, log_, settings_.lanes),
      caller_api_(contracts_,
                  router_,
                  urgent_,
                  log_,
                  metrics_,
                  settings_.call_deadline),
      peer_api_(membership_,
                runner_,
                outcome_relay_,
                log_,
                [this] { lanes_.Tick(); }),
      peer_links_(loop, http_, kv_, log_, membership_, settings_.peers),
      operator_api_(membership_,
                    contracts_,
                    backends_,
                    lanes_,
                    holders_,
                    budgets_,
                    kv_,
                    log_,
                    metrics_),
      engine_orders_(http_),
      weights_(http_,
               settings_.weight_store_address,
               settings_.platform_timeout),
      order_fence_(kv_, settings_.daemon, settings_.placement_claim),
      placement_reconciler_(loop,
                            kv_,
                            engine_orders_,
                            weights_,
                            order_fence_,
                            membership_,
                            backends_,
                            contracts_,
                            log_,
                            settings_.placement_interval) {
  peer_secret_.AddToRequests(http_);
  ConnectMetrics();
}

void Daemon::ConnectMetrics() {
  log_.OnWrite([this](const Event& event) { metrics_.CountEvent(event.name); });
  kv_.OnCall(
      [this](const std::string& path, bool answered, Metrics::Duration time) {
        metrics_.CountKeyValueCall(path, answered, time);
      });
  const auto count = [this](const HttpRequest& request, std::size_t bytes) {
    metrics_.CountSentBytes(TrafficClass(request.Path()), bytes);
  };
  http_.OnSent(count);
  server_.OnAnswered(count);
}

std::string Daemon::Start(std::function<void(const std::string&)> on_refused) {
  on_refused_ = std::move(on_refused);
  loop_.OnError([this](const char* what) {
    log_.Write({.name = "internal_error", .detail = what});
  });
  const auto address = server_.Listen(settings_.listen);
  membership_.self().address = address;
  log_.Write({.name = "daemon_started", .detail = address});
  contracts_.Start(
      [this](Fiber& fiber) { return contract_peers_.Fetch(fiber); },
      [this](Fiber& fiber) { peer_links_.AwaitStartTime(fiber); });
  budgets_.OnShortage([this](Fiber& fiber, const std::string& customer,
                             const std::vector<std::string>& daemons) {
    grant_recall_.Ask(fiber, customer, daemons);
  });
  budgets_.Start();
  reaper_.Start();
  compactor_.Start();
  backends_.OnChange(
      [this](const ServerState& state) { announcer_.Announce(state); });
  backends_.Start();
  lanes_.OnApplied([this](const LaneOwner& owner, const LaneBlock& block) {
    releaser_.OnBlockApplied(owner, block);
    metrics_.ObserveCommit(block.entries.size());
  });
  orphaned_holds_.SetProgramEndedQuery(
      [this](Fiber& fiber, const ProgramKey& program) {
        return HasProgramEnded(fiber, program);
      });
  lanes_.SetOwnerCheck(
      [this](Fiber& fiber, const std::string& daemon, const OwnedLane& lane) {
        return peer_links_.StillOwns(fiber, daemon, lane);
      });
  lanes_.OnChange([this] {
    budgets_.Distrust();
    peer_links_.SendHeartbeats();
  });
  peer_links_.Start([this] {
    membership_.self().contracts_revision = contracts_.revision();
    for (const auto& [daemon, heartbeat] : membership_.peers()) {
      contracts_.ObserveRevision(heartbeat.contracts_revision);
    }
    lanes_.Tick();
    ApplyMembership();
  });
  releaser_.Start();
  loop_.Spawn([this](Fiber& fiber) { EnableLaneOwnership(fiber); });
  loop_.Spawn([this](Fiber& fiber) {
    peer_links_.AwaitStartTime(fiber);
    reclaimer_.Start();
    placement_reconciler_.Start();
  });
  return address;
}

void Daemon::EnableLaneOwnership(Fiber& fiber) {
  while (true) {
    try {
      AgreeOnLaneCount(fiber, kv_, settings_.lanes);
      while (!peer_links_.HasHeardFromPeers(settings_.heartbeat_timeout)) {
        fiber.Sleep(kPeersPollInterval);
      }
      lanes_.AllowTaking();
      return;
    } catch (const KvUnavailable&) {
      // Meanwhile this daemon forwards client calls to the lanes' owners, for
      // which it needs no lanes of its own.
      fiber.Sleep(kLaneCountRetryDelay);
    } catch (const LaneCountMismatch& e) {
      on_refused_(e.what());
      return;
    }
  }
}

bool Daemon::HasProgramEnded(Fiber& fiber, const ProgramKey& program) {
  ForwardedCall call;
  call.customer = program.customer;
  call.program = program.program;
  call.operation = Operation::kHistory;
  call.deadline = kHistoryRequestTimeout;
  bool ended = false;
  try {
    router_.Route(fiber, call, [&ended](const AnswerFrame& frame) {
      const auto history = json::parse(frame.content, nullptr, false);
      ended = history.is_object() && history.value("ended", false);
    });
  } catch (const CallError& e) {
    // An ended program is removed from the lane's journal once its holds are
    // released, so an unknown program has ended.
    if (e.code() != "no_program") {
      throw;
    }
    ended = true;
  }
  return ended;
}

void Daemon::ApplyMembership() {
  backends_.SetDaemons(
      membership_.EligibleDaemons(std::chrono::steady_clock::now()));
  engine_queue_.Refresh(membership_);
  service_queue_.Refresh(membership_);
  holds_.Prune();
}

void Daemon::Handle(Fiber& fiber,
                    const HttpRequest& request,
                    HttpExchange& exchange) {
  const auto path = request.Path();
  const InFlightGuard in_flight(metrics_, TrafficClass(path));
  if (StartsWith(path, kPeerPrefix) && !peer_secret_.IsAuthorized(request)) {
    ReplyError(exchange,
               CallError(403, "not_a_daemon",
                         "this interface is for the daemons of the fleet; "
                         "callers use the paths under /v1/",
                         Verdict::kNotRun));
    return;
  }
  try {
    if (!caller_api_.Handle(fiber, request, exchange) &&
        !peer_api_.Handle(fiber, request, exchange) &&
        !contract_peers_.Handle(request, exchange) &&
        !announcer_.Handle(request, exchange) &&
        !listing_.Handle(request, exchange) &&
        !holders_.Handle(request, exchange) &&
        !grant_use_reporter_.Handle(fiber, request, exchange) &&
        !grant_recall_.Handle(fiber, request, exchange) &&
        !operator_api_.Handle(request, exchange)) {
      throw CallError(404, "no_such_path", "see the README for the paths",
                      Verdict::kNotRun);
    }
  } catch (const CallError& e) {
    ReplyError(exchange, e);
  }
}

void Daemon::Drain(std::function<void()> on_drained) {
  log_.Write({.name = "drain_started"});
  membership_.self().draining = true;
  peer_links_.SendHeartbeats();
  loop_.Spawn([this, on_drained = std::move(on_drained)](Fiber& fiber) {
    RunDrain(fiber);
    log_.Write({.name = "drain_ended"});
    on_drained();
  });
}

void Daemon::RunDrain(Fiber& fiber) {
  const auto until = std::chrono::steady_clock::now() + settings_.drain_time;
  // New calls go to the lanes' next owners at once. The calls in flight finish
  // here, and their outcomes are forwarded to the new owners.
  server_.CloseAfterReplies();
  while (!lanes_.HandOverAll(fiber, settings_.platform_timeout) &&
         std::chrono::steady_clock::now() < until) {
    log_.Write({.name = "drain_waits", .detail = "lanes not handed over"});
  }
  // The load balancer notices the drain with a delay, so the requests that it
  // still sends are served for a while.
  fiber.Sleep(settings_.drain_linger);
  server_.Drain();
  while (server_.connections() > 0 &&
         std::chrono::steady_clock::now() < until) {
    fiber.Sleep(kDrainPollInterval);
  }
  budgets_.GiveBackAll(fiber);
  peer_links_.Leave(fiber);
}

}  // namespace comfreyfold
