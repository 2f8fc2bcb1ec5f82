#include "vm/vm_daemon.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"

namespace comfreyfold {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
// A registration that says "leaving" has to be seen within the time that the
// deployment grants, with another step to the daemons that are told of it.
constexpr int kReadsPerDrain = 2;
// The balancer asks once a second and takes a daemon out after two misses.
constexpr std::chrono::milliseconds kBalancerNotices{2600};
constexpr std::chrono::milliseconds kIdleLook{50};
// Of the time until it is killed, left for the end of a planned stop.
constexpr std::chrono::milliseconds kStopMargin{300};
constexpr std::chrono::milliseconds kExpireEvery{2000};
constexpr std::chrono::milliseconds kReportAgain{300};
// News pass from the reader over a storage daemon of each data centre to those
// that serve clients, each step asking four times a second. News that are older
// than the time between readings by this much are late; the second reader
// steps in at the first figure, then one after the other.
constexpr std::chrono::milliseconds kSecondReads{400};
constexpr std::chrono::milliseconds kNextReads{300};
constexpr std::chrono::milliseconds kNewsLate{700};
// Those that serve clients step in over some seconds, a few at first: what one
// of them reads reaches the others, and while the service is out each of their
// calls is paid for in vain.
constexpr std::chrono::milliseconds kClientReads{800};
constexpr std::chrono::milliseconds kClientReadsSpread{4000};
// After their start they wait that long to be told by a storage daemon.
constexpr std::chrono::milliseconds kFirstReads{400};
constexpr std::chrono::milliseconds kFirstReadsSpread{1500};
// Of the descriptors: connections of clients; servers and peers need others.
constexpr int kClientShare = 2;
// Of the memory: cached chains.
constexpr std::int64_t kCacheShare = 16;
// Chunks of a body that is forwarded between daemons.
constexpr std::uint64_t kInternalBody = 64UL * 1024 * 1024;
// An idle connection between daemons is kept much longer than it is unused.
constexpr std::chrono::milliseconds kInternalIdle{15000};
constexpr std::chrono::milliseconds kRelayTimeout{200};
// Of the memory: connections of other daemons, each with its coroutine.
constexpr std::int64_t kPeerShare = 2;
constexpr std::int64_t kConnectionBytes = 48 * 1024;

HttpLimits InternalBounds(std::int64_t memory_bytes) {
  HttpLimits out;
  if (memory_bytes > 0) {
    out.connections =
        static_cast<int>(memory_bytes / kPeerShare / kConnectionBytes);
  }
  out.body_bytes = kInternalBody;
  out.idle_time = kInternalIdle;
  return out;
}

std::string WithPort(const std::string& address, int port) {
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
      follower_(loop,
                platform_.store,
                view_,
                log_,
                platform_.layout,
                ReadEvery()),
      sync_(loop, http, view_, log_, platform_.layout.decode_config) {}

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
      InternalBounds(settings_.memory_bytes));
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
    StartClients();
  }
  StartMetrics();
  follower_.OnOperators(
      [this](const KvRange& operators) { NoteOperators(operators); });
  view_.OnChange([this] { WatchRetirement(); });
  follower_.OnlyIf([this] { return ShouldReadStore(); });
  follower_.FollowListIf([this] {
    return storage_node_ || (view_.storage().version == 0 && ShouldReadStore());
  });
  sync_.StaleAfter(ReadEvery() + kNewsLate);
  sync_.AskFrom([this] { return NewsSources(); });
  loop_.Spawn([this](Fiber& fiber) { sync_.Run(fiber); });
  follower_.Start();
}

void VmDaemon::StartStorage() {
  // Passes on what the daemons that serve clients tell of servers.
  sync_.ShareLoads(PeerAddress(), [](const LoadNote&) {});
  storage_node_ = std::make_unique<StorageNode>(
      loop_, view_, log_, settings_.data_folder, settings_.tolerated_losses,
      settings_.disk_bytes, settings_.memory_bytes);
  storage_keeper_ = std::make_unique<StorageKeeper>(
      loop_, http_, platform_.store, view_, *storage_node_, log_,
      StorageMember{storage_node_->disk(), settings_.vm, PeerAddress(),
                    settings_.data_centre},
      settings_.tolerated_losses, settings_.first_start);
  loop_.Spawn([this](Fiber& fiber) { storage_keeper_->Run(fiber); });
  loop_.Spawn([this](Fiber& fiber) {
    for (;;) {
      fiber.Sleep(kExpireEvery);
      storage_node_->Expire();
    }
  });
}

void VmDaemon::StartClients() {
  storage_ = std::make_unique<StorageClient>(
      loop_, http_, view_, log_, settings_.data_centre,
      settings_.tolerated_losses,
      static_cast<std::size_t>(settings_.memory_bytes / kCacheShare),
      settings_.settle_within);
  gate_ = std::make_unique<ServerGate>(loop_, view_, settings_.data_centre);
  sync_.ShareLoads(PeerAddress(),
                   [this](const LoadNote& note) { gate_->Heard(note); });
  calls_ = std::make_unique<CallHandler>(http_, view_, *gate_, *storage_, log_,
                                         metrics_, platform_.dialect);
  loop_.Spawn([this](Fiber& fiber) { storage_->Run(fiber); });
  client_server_ = std::make_unique<HttpServer>(
      loop_,
      [this](Fiber& fiber, const HttpRequest& request, HttpExchange& exchange) {
        calls_->Handle(fiber, request, exchange);
      },
      ClientBounds());
  client_server_->Listen(settings_.client_address);
  view_.OnChange([this] { ApplyLimits(); });
  ready_server_ = std::make_unique<HttpServer>(
      loop_, [this](Fiber&, const HttpRequest&, HttpExchange& exchange) {
        HandleReady(exchange);
      });
  ready_server_->Listen(settings_.ready_address);
  metrics_.AddGauge("comfreyfold_waiting_requests",
                    "Requests that wait for a place at a server",
                    [this] { return static_cast<double>(gate_->waiting()); });
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
  metrics_server_->Listen(WithPort(settings_.internal_address, metrics_port_));
}

void VmDaemon::HandleInternal(Fiber& fiber,
                              const HttpRequest& request,
                              HttpExchange& exchange) {
  if (request.Path() == kFleetPath) {
    sync_.Handle(request, exchange);
  } else if (!request.Header(kRelayHeader).empty()) {
    Relay(fiber, request, exchange);
  } else if (storage_node_ && request.target.rfind(kStoragePath, 0) == 0) {
    storage_node_->Handle(fiber, request, exchange);
  } else {
    exchange.Reply(kNotFound, "text/plain", "no such path\n");
  }
}

// Passes a storage request on for a daemon that cannot reach the disk.
void VmDaemon::Relay(Fiber& fiber,
                     const HttpRequest& request,
                     HttpExchange& exchange) {
  const auto disk = request.Path().substr(std::string(kStoragePath).size());
  const auto* member = view_.storage().Find(disk);
  if (member == nullptr) {
    exchange.Reply(kNotFound, "text/plain", "no such disk\n");
    return;
  }
  // The list may be replaced while the answer is awaited.
  const auto address = member->address;
  HttpOptions options;
  options.connect_timeout = kRelayTimeout;
  options.idle_timeout = kRelayTimeout;
  try {
    const auto reply = http_.Send(
        fiber, address, {"POST", request.Path(), {}, request.body}, options);
    exchange.Reply(reply.status, "", reply.body);
  } catch (const HttpFailure& e) {
    exchange.Reply(kUnavailable, "text/plain", e.what());
  }
}

bool VmDaemon::Ready() const {
  return !stopping_ && view_.config() && view_.servers().known();
}

void VmDaemon::HandleReady(HttpExchange& exchange) const {
  exchange.Reply(Ready() ? kOk : kUnavailable, "text/plain",
                 Ready() ? "ready\n" : "not ready\n");
}

HttpLimits VmDaemon::ClientBounds() const {
  HttpLimits out;
  if (settings_.descriptors > 0) {
    out.connections = settings_.descriptors / kClientShare;
  }
  if (view_.config()) {
    const auto& limits = view_.config()->limits;
    out.header_bytes = limits.header_bytes;
    out.body_bytes = limits.body_bytes;
    out.idle_time = limits.idle_timeout;
  }
  return out;
}

void VmDaemon::ApplyLimits() {
  client_server_->SetLimits(ClientBounds());
}

const std::string& VmDaemon::PeerAddress() const {
  return settings_.peer_address.empty() ? settings_.internal_address
                                        : settings_.peer_address;
}

std::chrono::milliseconds VmDaemon::ReadEvery() const {
  return settings_.server_drain / kReadsPerDrain;
}

std::vector<std::string> VmDaemon::NewsSources() const {
  std::vector<std::string> out;
  auto members = view_.storage().AllMembers();
  // In the order of the list: its first reads the service for all. Those that
  // serve clients ask one near them, all of a data centre the same.
  if (!storage_node_) {
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
  // Round a cut, from whoever still hears of it.
  out.insert(out.end(), view_.daemons().begin(), view_.daemons().end());
  if (out.empty()) {
    for (const auto& it : settings_.seeds) {
      if (it != settings_.control_address) {
        out.push_back(it);
      }
    }
  }
  return out;
}

void VmDaemon::NoteOperators(const KvRange& operators) {
  std::set<std::string> vms;
  const auto& prefix = platform_.retire.request_prefix;
  for (const auto& it : operators.items) {
    if (it.key.rfind(prefix, 0) == 0) {
      vms.insert(it.key.substr(prefix.size()));
    }
  }
  view_.ApplyRetiring(std::move(vms));
}

void VmDaemon::WatchRetirement() {
  if (retiring_ || !storage_keeper_ ||
      view_.retiring().count(settings_.vm) == 0) {
    return;
  }
  retiring_ = true;
  log_.Write("retirement_asked", "", {{"vm", settings_.vm}});
  loop_.Spawn([this](Fiber& fiber) { ReportRetirement(fiber, false); });
  storage_keeper_->Leave(
      [this](Fiber& fiber) { ReportRetirement(fiber, true); });
}

// The operators wait for this: it is written until the service has it.
void VmDaemon::ReportRetirement(Fiber& fiber, bool done) {
  KvTxn txn;
  txn.puts = {{platform_.retire.status_prefix + settings_.vm,
               platform_.retire.encode_status(done)}};
  for (;;) {
    try {
      platform_.store.Commit(fiber, txn);
      log_.Write("retirement", "", {{"outcome", done ? "empty" : "running"}});
      return;
    } catch (const KvUnavailable& e) {
      log_.Write("retirement_delayed", "", {{"reason", e.what()}});
      fiber.Sleep(kReportAgain);
    }
  }
}

// Between none and all of `time`, by the VM's name.
std::chrono::milliseconds VmDaemon::OwnShareOf(
    std::chrono::milliseconds time) const {
  return std::chrono::milliseconds(Hash64(settings_.vm) %
                                   static_cast<std::uint64_t>(time.count()));
}

// Storage daemons read the service, the first of the list for all; the others
// and the daemons that serve clients step in when news get old.
bool VmDaemon::ShouldReadStore() const {
  if (!storage_node_) {
    const bool knows_nothing = !view_.config();
    return knows_nothing ? std::chrono::steady_clock::now() - started_at_ >
                               kFirstReads + OwnShareOf(kFirstReadsSpread)
                         : !sync_.FresherThan(ReadEvery() + kClientReads +
                                              OwnShareOf(kClientReadsSpread));
  }
  const auto members = view_.storage().AllMembers();
  std::int64_t rank = 0;
  for (const auto& it : members) {
    if (it.disk == storage_node_->disk()) {
      break;
    }
    ++rank;
  }
  return rank == 0 ||
         !sync_.FresherThan(ReadEvery() + kSecondReads + rank * kNextReads);
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
  if (storage_keeper_) {
    storage_keeper_->Stop();
  }
  loop_.Spawn(
      [this, done = std::move(done)](Fiber& fiber) { AwaitIdle(fiber, done); });
}

void VmDaemon::AwaitIdle(Fiber& fiber, const std::function<void()>& done) {
  const auto last =
      std::chrono::steady_clock::now() + settings_.stop_grace - kStopMargin;
  if (client_server_) {
    // New connections still come until the balancer has noticed.
    fiber.Sleep(kBalancerNotices);
    client_server_->Drain();
  }
  const auto busy = [this] {
    return (client_server_ && client_server_->in_flight() > 0) ||
           internal_server_->in_flight() > 0;
  };
  while (busy() && std::chrono::steady_clock::now() < last) {
    fiber.Sleep(kIdleLook);
  }
  internal_server_->Drain();
  if (control_server_) {
    control_server_->Drain();
  }
  log_.Write("stopped", "", {{"idle", busy() ? 0 : 1}});
  done();
}

}  // namespace comfreyfold
