#include "vm/vm_daemon.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"
#include "net/repeat.h"
#include "vm/load_log.h"
#include "vm/memory_shares.h"
#include "vm/storage_gauges.h"
#include "vm/storage_relay.h"

namespace comfreyfold {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
// A server that registers as leaving must be avoided within the drain time of
// the deployment. That time covers one read of the registrations and one more
// step to the daemons that learn of it from the reader.
constexpr int kRegistryReadsPerDrain = 2;
// The load balancer probes readiness once a second and removes a daemon after
// two failed probes.
constexpr std::chrono::milliseconds kBalancerRemovalTime{2600};
constexpr std::chrono::milliseconds kIdlePollInterval{50};
// Kept free at the end of the grace period, before the process is killed.
constexpr std::chrono::milliseconds kStopMargin{300};
constexpr std::chrono::milliseconds kExpiryInterval{2000};
// Fleet state passes from the daemon that reads the key-value service to the
// first storage daemon of each data centre, its hub, and from there to the
// other daemons of the data centre. Loads and faults of servers pass the same
// way, and the choice of a server is as good as they are new: a turn takes
// about 300 ms. Bytes between data centres are dear, so that the hubs exchange
// them less often. When the state is older than the read interval by
// kSyncLateMargin, further sources are asked. The first storage daemon of the
// list always reads the service. The one at position n, counted from zero, does
// so when its state is older than the read interval by kReaderTakeoverDelay
// plus n times kReaderTakeoverStep.
constexpr std::chrono::milliseconds kClientSyncInterval{60};
constexpr std::chrono::milliseconds kHubSyncInterval{100};
constexpr std::chrono::milliseconds kStorageSyncInterval{250};
constexpr std::chrono::milliseconds kReaderTakeoverDelay{400};
constexpr std::chrono::milliseconds kReaderTakeoverStep{300};
constexpr std::chrono::milliseconds kSyncLateMargin{700};
// Daemons that serve clients read the service themselves when their state is
// older than the read interval by kClientReadDelay plus a part of
// kClientReadSpread that differs between VMs. The spread limits the number of
// readers: what the first of them reads reaches the others, and during an
// outage of the service every call is wasted.
constexpr std::chrono::milliseconds kClientReadDelay{800};
constexpr std::chrono::milliseconds kClientReadSpread{4000};
// After their start, they wait in the same way for a first configuration from a
// storage daemon before they read the service themselves.
constexpr std::chrono::milliseconds kFirstReadDelay{400};
constexpr std::chrono::milliseconds kFirstReadSpread{1500};
// Client connections may use the file descriptors divided by this number; the
// others are left for connections to backend servers and other daemons.
constexpr int kClientConnectionDivisor = 2;
// The cache of chains may use the memory limit divided by this number.
constexpr std::int64_t kCacheMemoryDivisor = 16;
// Bodies of other daemons' requests up to this size do not count.
constexpr std::size_t kExemptPeerBodyBytes = 64UL * 1024;
std::string ReplacePort(const std::string& address, int port) {
  return address.substr(0, address.rfind(':')) + ":" + std::to_string(port);
}

}  // namespace

VmDaemon::VmDaemon(Loop& loop,
                   HttpClient& http,
                   VmSettings settings,
                   VmPlatform platform,
                   int metrics_port)
    : loop_(loop),
      http_(http),
      settings_(std::move(settings)),
      platform_(std::move(platform)),
      metrics_port_(metrics_port),
      log_(settings_.vm),
      bodies_memory_(BodyBudget(settings_.memory_bytes)),
      answers_memory_(BodyBudget(settings_.memory_bytes)),
      peer_bodies_memory_(BodyBudget(settings_.memory_bytes)),
      store_watcher_(loop,
                     platform_.store,
                     view_,
                     log_,
                     platform_.layout,
                     RegistryReadInterval()),
      fleet_sync_(loop, http, view_, log_, platform_.layout.decode_config) {}

VmDaemon::~VmDaemon() = default;

void VmDaemon::Start() {
  log_.Write("start", "",
             {{"data_centre", settings_.data_centre},
              {"first_start", settings_.first_start ? 1 : 0},
              {"clients", settings_.client_address},
              {"data_folder", settings_.data_folder}});
  if (!settings_.data_folder.empty()) {
    StartStorage();
  }
  internal_server_ = std::make_unique<HttpServer>(
      loop_,
      [this](Fiber& fiber, const HttpRequest& request, HttpExchange& exchange) {
        HandleInternal(fiber, request, exchange);
      },
      InternalHttpLimits(settings_.memory_bytes));
  internal_server_->LimitBodyMemory(peer_bodies_memory_, kExemptPeerBodyBytes);
  internal_server_->Listen(settings_.internal_address);
  if (!settings_.control_address.empty()) {
    control_server_ = std::make_unique<HttpServer>(
        loop_, [this](Fiber& fiber, const HttpRequest& request,
                      HttpExchange& exchange) {
          HandleInternal(fiber, request, exchange);
        });
    control_server_->Listen(settings_.control_address);
  }
  if (!settings_.client_address.empty()) {
    StartClientService();
  }
  StartMetrics();
  store_watcher_.OnOperatorKeys(
      [this](const KvRange& operator_keys) { UpdateRetiring(operator_keys); });
  view_.OnChange([this] { StartRetirementIfRequested(); });
  store_watcher_.ReadOnlyIf([this] { return ShouldReadStore(); });
  store_watcher_.WatchListOnlyIf([this] {
    return storage_node_ ||
           (view_.storage_list().version == 0 && ShouldReadStore());
  });
  fleet_sync_.SetMaxAge(RegistryReadInterval() + kSyncLateMargin);
  fleet_sync_.SetInterval([this] { return FleetSyncInterval(); });
  fleet_sync_.SetSources([this] { return FleetSyncSources(); });
  loop_.Spawn([this](Fiber& fiber) { fleet_sync_.Run(fiber); });
  loop_.Spawn([this](Fiber& fiber) { loop_delay_.Run(fiber); });
  loop_.Spawn([this](Fiber& fiber) {
    LogLoad(fiber, log_, loop_delay_, storage_node_.get(),
            storage_client_.get());
  });
  store_watcher_.Start();
}

void VmDaemon::StartStorage() {
  // A storage daemon forwards the server loads that the daemons serving clients
  // report, but does not use them.
  fleet_sync_.ShareLoads("", [](const LoadReport&) {});
  storage_node_ = std::make_unique<StorageNode>(
      loop_, view_, log_, settings_.data_folder, settings_.tolerated_losses,
      settings_.disk_bytes, settings_.memory_bytes);
  view_.StoreListsBy(
      [this](const StorageList& list) { storage_node_->BeginAdopt(list); });
  fleet_state_file_ = std::make_unique<FleetStateFile>(
      view_, log_, storage_node_->disk_log(), settings_.data_folder);
  fleet_sync_.OfferKept(storage_node_->disk(),
                        [this] { return fleet_state_file_->kept(); });
  permit_service_ = std::make_unique<PermitService>(view_, PeerAddress());
  membership_manager_ = std::make_unique<StorageMembershipManager>(
      loop_, http_, platform_.store, view_, *storage_node_, log_,
      StorageMember{storage_node_->disk(), settings_.vm, PeerAddress(),
                    settings_.data_centre},
      settings_.tolerated_losses, settings_.catch_up_time,
      settings_.first_start);
  AddStorageGauges(metrics_, *storage_node_, view_, *membership_manager_);
  loop_.Spawn([this](Fiber& fiber) { membership_manager_->Run(fiber); });
  loop_.Spawn([this](Fiber& fiber) {
    RepeatForever(fiber, "the removal of expired records", [this, &fiber] {
      fiber.Sleep(kExpiryInterval);
      storage_node_->Expire();
    });
  });
}

void VmDaemon::StartClientService() {
  storage_client_ = std::make_unique<StorageClient>(
      loop_, http_, view_, log_, settings_.data_centre,
      settings_.tolerated_losses,
      static_cast<std::size_t>(settings_.memory_bytes / kCacheMemoryDivisor),
      settings_.max_settlement_time);
  admission_ = std::make_unique<ServerAdmission>(loop_, view_, log_,
                                                 settings_.data_centre);
  fleet_sync_.ShareLoads(PeerAddress(), [this](const LoadReport& report) {
    admission_->ObserveLoadReport(report);
  });
  fleet_sync_.OnFault(
      [this](const ServerFault& fault) { admission_->ObserveFault(fault); });
  ShareLimits();
  fleet_sync_.UseKept(settings_.tolerated_losses);
  crash_guard_ = std::make_unique<CrashGuard>(loop_, http_, view_, log_);
  call_handler_ = std::make_unique<CallHandler>(
      http_, view_, *admission_, *crash_guard_, *storage_client_, log_,
      metrics_, bodies_memory_, answers_memory_, platform_.request_codec);
  loop_.Spawn([this](Fiber& fiber) { storage_client_->Run(fiber); });
  client_server_ = std::make_unique<HttpServer>(
      loop_,
      [this](Fiber& fiber, const HttpRequest& request, HttpExchange& exchange) {
        call_handler_->Handle(fiber, request, exchange);
      },
      ClientHttpLimits());
  client_server_->LimitBodyMemory(bodies_memory_, 0);
  client_server_->Listen(settings_.client_address);
  view_.OnChange([this] { ApplyClientLimits(); });
  ready_server_ = std::make_unique<HttpServer>(
      loop_, [this](Fiber&, const HttpRequest&, HttpExchange& exchange) {
        HandleReadiness(exchange);
      });
  ready_server_->Listen(settings_.ready_address);
  metrics_.AddGauge(
      "comfreyfold_quarantined_requests",
      "Requests that crashed servers and are kept from them",
      [this] { return static_cast<double>(view_.quarantine().blamed()); });
  metrics_.AddGauge("comfreyfold_body_bytes",
                    "Bytes of the bodies of requests and answers in memory",
                    [this] {
                      return static_cast<double>(bodies_memory_->used() +
                                                 answers_memory_->used());
                    });
  metrics_.AddGauge("comfreyfold_waiting_requests",
                    "Requests that wait for a place at a server", [this] {
                      return static_cast<double>(admission_->waiting());
                    });
}

void VmDaemon::ShareLimits() {
  permit_client_ =
      std::make_unique<PermitClient>(loop_, http_, view_, admission_->permits(),
                                     PeerAddress(), settings_.data_centre);
  admission_->OnPermitsWanted([this] { permit_client_->Ask(); });
  permit_client_->OnChange([this] { admission_->OnLimitsChanged(); });
  permit_client_->OnLimits([this] { admission_->OnLimitsChanged(); });
  fleet_sync_.OnLimits([this] { admission_->OnLimitsChanged(); });
  metrics_.AddGauges("comfreyfold_server_limit",
                     "Requests per second that a server takes from all daemons",
                     "server", [this] {
                       std::map<std::string, double> out;
                       for (const auto& it : view_.limits().All(
                                std::chrono::steady_clock::now())) {
                         if (it.per_second) {
                           out[it.server_id] = *it.per_second;
                         }
                       }
                       return out;
                     });
  metrics_.AddGauges("comfreyfold_server_permits",
                     "Requests that this daemon may send to a server with a "
                     "limit now or soon",
                     "server", [this] { return admission_->permits().Held(); });
  metrics_.AddGauges("comfreyfold_server_permits_used",
                     "Requests that this daemon has sent to a server with a "
                     "limit",
                     "server", [this] { return admission_->permits().Used(); });
}

void VmDaemon::StartMetrics() {
  metrics_.AddGauge("comfreyfold_log_lines_dropped",
                    "Log lines dropped for want of room or rate",
                    [this] { return static_cast<double>(log_.dropped()); });
  metrics_.AddGauge("comfreyfold_connections_opened",
                    "Connections opened to servers and daemons", [this] {
                      return static_cast<double>(http_.connections_opened());
                    });
  if (metrics_port_ == 0) {
    return;
  }
  metrics_server_ = std::make_unique<HttpServer>(
      loop_,
      [this](Fiber&, const HttpRequest& request, HttpExchange& exchange) {
        if (request.Path() == "/metrics") {
          exchange.Reply(kOk, "text/plain", metrics_.Scrape());
        } else {
          exchange.Reply(kNotFound, "text/plain", "see /metrics\n");
        }
      });
  metrics_server_->Listen(
      ReplacePort(settings_.internal_address, metrics_port_));
}

void VmDaemon::HandleInternal(Fiber& fiber,
                              const HttpRequest& request,
                              HttpExchange& exchange) {
  if (request.Path() == kFleetPath) {
    fleet_sync_.Handle(request, exchange);
  } else if (request.Path() == kPermitPath && permit_service_) {
    permit_service_->Handle(request, exchange);
  } else if (!request.Header(kRelayHeader).empty()) {
    RelayStorageRequest(fiber, http_, view_, request, exchange);
  } else if (storage_node_ && request.target.rfind(kStoragePath, 0) == 0) {
    storage_node_->Handle(fiber, request, exchange);
  } else {
    exchange.Reply(kNotFound, "text/plain", "no such path\n");
  }
}

bool VmDaemon::IsReady() const {
  return !stopping_ && view_.config() && view_.servers().known();
}

void VmDaemon::HandleReadiness(HttpExchange& exchange) const {
  exchange.Reply(IsReady() ? kOk : kUnavailable, "text/plain",
                 IsReady() ? "ready\n" : "not ready\n");
}

HttpLimits VmDaemon::ClientHttpLimits() const {
  HttpLimits out;
  if (settings_.max_descriptors > 0) {
    out.connections = settings_.max_descriptors / kClientConnectionDivisor;
  }
  if (view_.config()) {
    const auto& limits = view_.config()->limits;
    out.header_bytes = limits.header_bytes;
    out.body_bytes = limits.body_bytes;
    out.idle_time = limits.idle_timeout;
  }
  return out;
}

void VmDaemon::ApplyClientLimits() {
  client_server_->SetLimits(ClientHttpLimits());
}

const std::string& VmDaemon::PeerAddress() const {
  return settings_.peer_address.empty() ? settings_.internal_address
                                        : settings_.peer_address;
}

std::chrono::milliseconds VmDaemon::RegistryReadInterval() const {
  return settings_.server_drain_time / kRegistryReadsPerDrain;
}

bool VmDaemon::IsHub() const {
  const auto members = view_.storage_list().AllMembers();
  const auto hub =
      std::find_if(members.begin(), members.end(), [this](const auto& it) {
        return it.data_centre == settings_.data_centre;
      });
  return storage_node_ && hub != members.end() &&
         hub->disk == storage_node_->disk();
}

std::chrono::milliseconds VmDaemon::FleetSyncInterval() const {
  if (!storage_node_) {
    return kClientSyncInterval;
  }
  return IsHub() ? kHubSyncInterval : kStorageSyncInterval;
}

std::vector<std::string> VmDaemon::FleetSyncSources() const {
  std::vector<std::string> out;
  auto members = view_.storage_list().AllMembers();
  // The order is that of the list, because its first member reads the service
  // for all. Daemons other than hubs prefer members of their own data centre;
  // all daemons of a data centre ask its hub first.
  if (!IsHub()) {
    std::stable_partition(members.begin(), members.end(),
                          [this](const auto& it) {
                            return it.data_centre == settings_.data_centre;
                          });
  }
  for (const auto& it : members) {
    if (it.address != PeerAddress()) {
      out.push_back(it.address);
    }
  }
  // Other daemons that serve clients come last. They may still receive fleet
  // state when a network partition separates this one from all members.
  out.insert(out.end(), view_.client_daemons().begin(),
             view_.client_daemons().end());
  if (out.empty()) {
    for (const auto& it : settings_.seeds) {
      if (it != settings_.control_address) {
        out.push_back(it);
      }
    }
  }
  return out;
}

void VmDaemon::UpdateRetiring(const KvRange& operator_keys) {
  std::set<std::string> vms;
  const auto& prefix = platform_.retire.request_prefix;
  for (const auto& it : operator_keys.items) {
    if (it.key.rfind(prefix, 0) == 0) {
      vms.insert(it.key.substr(prefix.size()));
    }
  }
  view_.ApplyRetiring(std::move(vms), operator_keys.revision);
}

void VmDaemon::StartRetirementIfRequested() {
  if (retirement_report_ || !membership_manager_ ||
      view_.retiring().count(settings_.vm) == 0) {
    return;
  }
  retirement_report_ = std::make_unique<RetirementReport>(
      platform_.store, log_, platform_.retire, settings_.vm);
  log_.Write("retirement_asked", "", {{"vm", settings_.vm}});
  loop_.Spawn([this](Fiber& fiber) { retirement_report_->Begin(fiber); });
  membership_manager_->Leave(
      [this](Fiber& fiber) { retirement_report_->End(fiber); });
}

std::chrono::milliseconds VmDaemon::StaggeredDelay(
    std::chrono::milliseconds longest) const {
  return std::chrono::milliseconds(Hash64(settings_.vm) %
                                   static_cast<std::uint64_t>(longest.count()));
}

// The first storage daemon of the list reads the service for all others. The
// other daemons read it only when the state that they receive is outdated.
bool VmDaemon::ShouldReadStore() const {
  if (!storage_node_) {
    const bool has_no_config = !view_.config();
    return has_no_config
               ? std::chrono::steady_clock::now() - started_at_ >
                     kFirstReadDelay + StaggeredDelay(kFirstReadSpread)
               : !fleet_sync_.IsFresherThan(RegistryReadInterval() +
                                            kClientReadDelay +
                                            StaggeredDelay(kClientReadSpread));
  }
  const auto members = view_.storage_list().AllMembers();
  std::int64_t rank = 0;
  for (const auto& it : members) {
    if (it.disk == storage_node_->disk()) {
      break;
    }
    ++rank;
  }
  return rank == 0 || !fleet_sync_.IsFresherThan(RegistryReadInterval() +
                                                 kReaderTakeoverDelay +
                                                 rank * kReaderTakeoverStep);
}

void VmDaemon::Reload(const VmSettings& settings) {
  log_.Write("reload", "",
             {{"seeds", static_cast<int>(settings.seeds.size())},
              {"store", settings.store_address}});
  settings_ = settings;
}

void VmDaemon::Stop(std::function<void()> done) {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  log_.Write("stop", "",
             {{"in_flight", client_server_ ? client_server_->in_flight() : 0}});
  if (client_server_) {
    client_server_->CloseAfterReplies();
  }
  if (membership_manager_) {
    membership_manager_->Stop();
  }
  loop_.Spawn([this, done = std::move(done)](Fiber& fiber) {
    DrainAndFinish(fiber, done);
  });
}

void VmDaemon::DrainAndFinish(Fiber& fiber, const std::function<void()>& done) {
  const auto deadline =
      std::chrono::steady_clock::now() + settings_.stop_grace - kStopMargin;
  const auto wait_while = [&fiber, deadline](const auto& busy) {
    while (busy() && std::chrono::steady_clock::now() < deadline) {
      fiber.Sleep(kIdlePollInterval);
    }
    return !busy();
  };
  bool idle = true;
  if (client_server_) {
    call_handler_->StopAt(deadline);
    // New connections arrive until the load balancer has removed this daemon.
    fiber.Sleep(kBalancerRemovalTime);
    client_server_->Drain();
    idle = wait_while([this] {
      storage_client_->SendQueuedSettlements();
      return client_server_->connections() > 0 || storage_client_->sending();
    });
  }
  if (membership_manager_) {
    membership_manager_->AnnounceStop();
  }
  // Other daemons ask all the time, so that a moment without a request may
  // never come. They find no connection from here on, and turn to others.
  for (auto* it : {internal_server_.get(), control_server_.get(),
                   ready_server_.get(), metrics_server_.get()}) {
    if (it != nullptr) {
      it->Drain();
    }
  }
  idle = wait_while([this] {
           return internal_server_->connections() > 0 ||
                  (membership_manager_ && membership_manager_->announcing());
         }) &&
         idle;
  log_.Write("stopped", "", {{"idle", idle ? 1 : 0}});
  done();
}

}  // namespace comfreyfold
