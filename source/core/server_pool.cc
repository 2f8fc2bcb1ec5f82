#include "core/server_pool.h"

#include <algorithm>
#include <cmath>

#include "core/hash.h"
#include "core/moving_average.h"

namespace comfreyfold {

namespace {

// Half-life of a reported load. It spans a few requests, because other daemons
// keep sending requests after the report.
constexpr std::chrono::milliseconds kLoadHalfLife{1500};
// Costs are in milliseconds of a client's time.
// An engine prefills about 110 prompt tokens per millisecond (deployment
// sheet).
constexpr double kCostPerUncachedToken = 1.0 / 110;
// Each request in a batch lengthens each decoding step of every other request
// by about 0.04 ms, over about 35 steps, and its own steps grow likewise.
constexpr double kCostPerEngineRequest = 3;
// Tokens that a turn adds to its session (deployment sheet: 500 to 1,000).
constexpr std::int64_t kTokensPerTurn = 700;
// Tokens prefilled again after a turn ran outside its session's home server,
// because other daemons send the next turns to the home server.
constexpr std::int64_t kTokensLostAwayFromHome = 2000;
// Stands for the traffic between data centres rather than for time.
constexpr double kOtherDataCentreCost = 60;
// Cost of opening a connection, which is kept open for the idle time below.
constexpr double kNewConnectionCost = 3;
constexpr std::chrono::milliseconds kConnectionIdleTime{4000};
constexpr double kColdServerCost = 50;
// Cost of recording that a stream begins at another version than was planned.
constexpr double kOtherVersionCost = 30;
// Cost of a full server of a plain service, compared with an idle one.
constexpr double kFullServerCost = 60;
// Makes a server that failed the same request the last resort.
constexpr double kExcludedServerCost = 100000;
// A request waits at most this long for the server that has its session cached
// while other servers are free.
constexpr std::chrono::milliseconds kMaxWaitForCachedServer{150};
// A server is avoided when its latency exceeds the median by this factor.
constexpr double kSlowLatencyFactor = 2.5;
constexpr int kRefusalLoadMargin = 1;
// Share of taken slots from which on a data centre counts as full.
constexpr double kFullDataCentreShare = 0.85;
// Requests per slot from which on a daemon keeps to its window.
constexpr double kWindowLevel = 0.9;
// A server is congested when more than one request waits per this many slots.
constexpr int kSlotsPerWaitingRequest = 4;
// Time that a slot is held, until the average is known; deliberately short.
constexpr double kDefaultHeldMs = 100;

double Decayed(double value, std::chrono::duration<double, std::milli> age) {
  return value * std::exp2(-age.count() / kLoadHalfLife.count());
}

}  // namespace

ServerPool::ServerPool(std::string data_centre,
                       bool is_engine,
                       std::uint64_t seed,
                       PermitWallet* permits)
    : data_centre_(std::move(data_centre)),
      is_engine_(is_engine),
      random_(seed),
      permits_(permits) {}

void ServerPool::Update(const std::vector<BackendServer>& servers,
                        TimePoint now) {
  std::set<std::string> present;
  for (const auto& it : servers) {
    present.insert(it.id);
    auto& server = servers_[it.id];
    const bool restarted =
        server.info.started != it.started || server.info.address != it.address;
    if (restarted && !server.info.id.empty()) {
      // A restart empties the cache and makes earlier observations invalid.
      server.cache.Clear();
      server.latency_ms = 0;
      server.other_requests = 0;
      if (server.health.RecordRestart(now)) {
        NotifyFaultyChange(server, false);
      }
    }
    server.info = it;
  }
  std::erase_if(servers_, [this, &present, now](const auto& it) {
    const bool has_left = present.count(it.first) == 0;
    if (has_left && permits_ != nullptr) {
      permits_->SetWanted(it.first, 0, now);
    }
    return has_left;
  });
  int total_slots = 0;
  for (const auto& [id, it] : servers_) {
    total_slots += it.info.leaving ? 0 : it.info.slots;
  }
  window_.SetSlots(total_slots);
}

bool ServerPool::IsUsable(const Server& server, TimePoint now) {
  return !server.info.leaving && server.health.IsUsable(now);
}

bool ServerPool::Matches(const Server& server, const SlotRequest& request) {
  return !request.version ||
         (!request.version->empty() && server.info.version == *request.version);
}

bool ServerPool::HasVersionFor(const SlotRequest& request) const {
  return !request.version ||
         std::any_of(servers_.begin(), servers_.end(), [&](const auto& it) {
           return !it.second.info.leaving && Matches(it.second, request);
         });
}

std::string ServerPool::PreferredVersion(const std::string& session,
                                         TimePoint now) const {
  std::map<std::string, std::uint64_t> slots;
  std::uint64_t all_slots = 0;
  for (const auto& [id, it] : servers_) {
    if (IsUsable(it, now)) {
      slots[it.info.version] += static_cast<std::uint64_t>(it.info.slots);
      all_slots += static_cast<std::uint64_t>(it.info.slots);
    }
  }
  auto draw = all_slots == 0 ? 0 : Hash64(session) % all_slots;
  for (const auto& [version, n] : slots) {
    if (draw < n) {
      return version;
    }
    draw -= n;
  }
  return "";
}

void ServerPool::NotifyFaultyChange(const Server& server, bool faulty) const {
  if (on_faulty_change_) {
    on_faulty_change_(server.info.id, faulty);
  }
}

void ServerPool::ObserveAnswer(Server& server, TimePoint at) {
  if (server.health.RecordAnswer(at)) {
    NotifyFaultyChange(server, false);
  }
}

void ServerPool::ObserveFault(const ServerFault& fault, TimePoint now) {
  const auto it = servers_.find(fault.server_id);
  if (it != servers_.end() &&
      it->second.health.RecordFault(fault.origin, now - fault.age, now,
                                    random_)) {
    NotifyFaultyChange(it->second, true);
  }
}

std::vector<std::string> ServerPool::TakeSilentServers(TimePoint now) {
  std::vector<std::string> out;
  for (auto& [id, it] : servers_) {
    out.insert(out.end(), it.health.TakeSilences(now), id);
  }
  return out;
}

double ServerPool::LoadOf(const Server& server, TimePoint now) const {
  return server.own_requests +
         Decayed(server.other_requests, now - server.reported_at);
}

int ServerPool::SlotsOf(const Server& server) const {
  return server.info.slots;
}

bool ServerPool::HasRoom(const Server& server, TimePoint now) const {
  return LoadOf(server, now) < SlotsOf(server);
}

bool ServerPool::MayBegin(const SlotRequest& request, TimePoint now) const {
  return !is_engine_ || MayBeginAt(level_.At(now), request, now);
}

// In a large fleet a window holds few requests, so that some daemons would wait
// for theirs while servers have free slots. It counts only while the servers
// tell that they are nearly full.
bool ServerPool::WindowAllows(TimePoint now) const {
  return !is_engine_ || level_.At(now) < kWindowLevel ||
         window_.HasRoom(in_use());
}

// Whether nearly all slots of this data centre are taken. A queue at a single
// server is a matter of server choice and not a sign of overload.
bool ServerPool::IsDataCentreFull(TimePoint now) const {
  double used_slots = 0;
  double total_slots = 0;
  for (const auto& [id, it] : servers_) {
    if (it.info.data_centre == data_centre_ && IsUsable(it, now)) {
      used_slots += std::min<double>(LoadOf(it, now), SlotsOf(it));
      total_slots += SlotsOf(it);
    }
  }
  return used_slots >= total_slots * kFullDataCentreShare;
}

double ServerPool::MedianLatency() const {
  std::vector<double> latencies;
  for (const auto& [id, it] : servers_) {
    if (it.latency_ms > 0) {
      latencies.push_back(it.latency_ms);
    }
  }
  if (latencies.empty()) {
    return 0;
  }
  const auto median =
      latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), median, latencies.end());
  return *median;
}

// Other daemons also handle turns of the session and send them to its home
// server unless that is full. The home server therefore most likely has the
// earlier turns cached, and they cannot use what another server has cached.
std::int64_t ServerPool::ExpectedUncachedTokens(const Server& server,
                                                const SlotRequest& request,
                                                bool is_home) const {
  const auto own = shared_parts_.UnsharedTokens(request.prompt);
  const auto uncached =
      std::min(own, server.cache.UncachedTokens(request.prompt));
  return is_home ? std::min(uncached, kTokensPerTurn)
                 : uncached + kTokensLostAwayFromHome;
}

// The server that ran the last turn of the session if it is known and usable,
// else the first one of this data centre by rendezvous hashing, on which all
// daemons agree.
const ServerPool::Server* ServerPool::HomeServer(const SlotRequest& request,
                                                 TimePoint now) const {
  const auto known = servers_.find(request.cached_at);
  if (known != servers_.end() && IsUsable(known->second, now) &&
      Matches(known->second, request)) {
    return &known->second;
  }
  const Server* out = nullptr;
  std::uint64_t highest = 0;
  // A program that has not begun is cached nowhere and goes where there is
  // room. Later turns learn of that server from the program's ledger.
  if (request.session.empty() || request.stage != ProgramStage::kStarted) {
    return nullptr;
  }
  const auto seed = Hash64(request.session);
  for (const auto& [id, it] : servers_) {
    if (it.info.data_centre != data_centre_ || !IsUsable(it, now) ||
        !Matches(it, request)) {
      continue;
    }
    const auto weight = Hash64(id, seed);
    if (out == nullptr || weight > highest) {
      out = &it;
      highest = weight;
    }
  }
  return out;
}

double ServerPool::Cost(const Server& server,
                        const SlotRequest& request,
                        bool is_home,
                        bool waits_for_permit,
                        TimePoint now) const {
  // A program that begins where permits have to be waited for would wait for
  // them with its later turns, too.
  const bool counts_as_full =
      waits_for_permit && request.stage != ProgramStage::kStarted;
  const double load =
      counts_as_full ? std::max<double>(LoadOf(server, now), SlotsOf(server))
                     : LoadOf(server, now);
  double out =
      server.info.data_centre == data_centre_ ? 0 : kOtherDataCentreCost;
  if (now - server.used_at > kConnectionIdleTime) {
    out += kNewConnectionCost;
  }
  if (server.info.cold_remaining.count() > 0) {
    out += kColdServerCost;
  }
  if (!request.preferred_version.empty() &&
      server.info.version != request.preferred_version) {
    out += kOtherVersionCost;
  }
  if (is_engine_) {
    // Prefilling a prompt delays all requests of the batch.
    out +=
        static_cast<double>(ExpectedUncachedTokens(server, request, is_home)) *
            kCostPerUncachedToken * (1 + load) +
        load * kCostPerEngineRequest;
  } else {
    // A server of a plain service slows down as its slots fill up.
    out += load * kFullServerCost / server.info.slots;
  }
  const double median_latency = MedianLatency();
  if (median_latency > 0 &&
      server.latency_ms > median_latency * kSlowLatencyFactor) {
    out += server.latency_ms - median_latency;
  }
  return out;
}

// Milliseconds until a full server has a slot for one more request.
double ServerPool::ExpectedWaitMs(const Server& server, TimePoint now) const {
  const double missing_slots = LoadOf(server, now) - SlotsOf(server) + 1;
  const double held = mean_held_ms_ > 0 ? mean_held_ms_ : kDefaultHeldMs;
  return missing_slots <= 0 ? 0 : missing_slots * held / SlotsOf(server);
}

// Returns the server with the lowest cost, or null when waiting costs less.
// Full servers are compared as well: under load, waiting for the server that
// has the session cached is better than prefilling it again elsewhere, which
// takes capacity from all requests.
ServerPool::Server* ServerPool::ChooseServer(const SlotRequest& request,
                                             TimePoint now) {
  if (!WindowAllows(now)) {
    return nullptr;
  }
  Server* best = nullptr;
  double best_cost = 0;
  double best_permit_wait = 0;
  const auto* home = is_engine_ ? HomeServer(request, now) : nullptr;
  const bool free_servers_only =
      request.stage != ProgramStage::kStarted ||
      now - request.arrived > kMaxWaitForCachedServer;
  for (auto& [id, it] : servers_) {
    const bool has_room = HasRoom(it, now);
    if (!IsUsable(it, now) || !Matches(it, request) ||
        (!has_room && (free_servers_only || !is_engine_))) {
      continue;
    }
    const auto permit_wait = PermitWaitMs(it, now);
    if (!permit_wait) {
      continue;
    }
    const double cost =
        Cost(it, request, &it == home, *permit_wait > 0, now) +
        (request.excluded.count(id) > 0 ? kExcludedServerCost : 0) +
        ExpectedWaitMs(it, now) + *permit_wait;
    if (best == nullptr || cost < best_cost) {
      best = &it;
      best_cost = cost;
      best_permit_wait = *permit_wait;
    }
  }
  if (best_permit_wait > 0) {
    ++claims_[best->info.id];
    return nullptr;
  }
  return best != nullptr && HasRoom(*best, now) ? best : nullptr;
}

AcquiredSlot ServerPool::Acquire(Server& server,
                                 const SlotRequest& request,
                                 TimePoint now) {
  UsePermit(server, now);
  server.used_at = now;
  shared_parts_.Record(request.session, request.prompt);
  AcquiredSlot out;
  out.server_id = server.info.id;
  out.address = server.info.address;
  out.uncached_tokens = server.cache.UncachedTokens(request.prompt);
  out.in_other_data_centre = server.info.data_centre != data_centre_;
  server.cache.RecordUse(request.prompt);
  out.acquired_at = now;
  out.server_started = server.info.started;
  out.server_version = server.info.version;
  ++server.own_requests;
  out.is_probe = server.health.RecordSend(now, random_);
  return out;
}

std::optional<AcquiredSlot> ServerPool::TryAcquire(const SlotRequest& request,
                                                   TimePoint now) {
  if (!MayBegin(request, now)) {
    return std::nullopt;
  }
  claims_.clear();
  const bool is_first = std::all_of(
      waiting_.begin(), waiting_.end(),
      [&request](const auto& it) { return GoesBefore(request, it); });
  if (!is_first) {
    return std::nullopt;
  }
  auto* server = ChooseServer(request, now);
  return server == nullptr ? std::nullopt
                           : std::optional(Acquire(*server, request, now));
}

void ServerPool::Cancel(std::uint64_t ticket) {
  waiting_.remove_if(
      [ticket](const SlotRequest& it) { return it.ticket == ticket; });
}

std::vector<ServerPool::Assignment> ServerPool::AssignSlots(TimePoint now) {
  std::vector<Assignment> out;
  claims_.clear();
  waiting_.sort(GoesBefore);
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    auto* server = MayBegin(*it, now) ? ChooseServer(*it, now) : nullptr;
    if (server == nullptr) {
      ++it;
      continue;
    }
    out.push_back({it->ticket, Acquire(*server, *it, now)});
    it = waiting_.erase(it);
  }
  return out;
}

void ServerPool::ObserveLoad(Server& server,
                             const ServerLoad& load,
                             TimePoint now) {
  server.other_requests =
      std::max(0, load.running + load.waiting - server.own_requests);
  server.reported_at = now;
  RecordLevel(server, load.running + load.waiting, load.slots, now);
  if (load.waiting * kSlotsPerWaitingRequest > load.slots &&
      IsDataCentreFull(now)) {
    window_.OnCongestion(in_use(), now);
  } else {
    window_.OnSuccess();
  }
}

void ServerPool::ObserveLoadReport(const LoadReport& report, TimePoint now) {
  const auto it = servers_.find(report.server_id);
  if (it == servers_.end() || now - report.age <= it->second.reported_at) {
    return;
  }
  ObserveAnswer(it->second, now - report.age);
  RecordLevel(it->second, report.requests, it->second.info.slots, now);
  it->second.other_requests =
      std::max(0, report.requests - it->second.own_requests);
  it->second.reported_at = now - report.age;
}

void ServerPool::ObserveResponseStart(const AcquiredSlot& slot,
                                      const std::optional<ServerLoad>& load,
                                      std::chrono::milliseconds first_byte,
                                      TimePoint now) {
  const auto it = servers_.find(slot.server_id);
  if (it == servers_.end()) {
    return;
  }
  auto& server = it->second;
  server.health.RecordResponseStart(slot.acquired_at);
  ObserveAnswer(server, now);
  if (load) {
    ObserveLoad(server, *load, now);
  }
  server.latency_ms =
      MovingAverage(server.latency_ms, static_cast<double>(first_byte.count()));
}

void ServerPool::Release(const AcquiredSlot& slot,
                         ExchangeResult result,
                         const std::optional<ServerLoad>& load,
                         std::chrono::milliseconds held,
                         TimePoint now) {
  const auto it = servers_.find(slot.server_id);
  if (it == servers_.end()) {
    return;
  }
  auto& server = it->second;
  server.health.RecordEnd(slot.acquired_at, slot.is_probe);
  server.own_requests = std::max(0, server.own_requests - 1);
  switch (result) {
    case ExchangeResult::kAnswered:
      ObserveAnswer(server, now);
      mean_held_ms_ =
          MovingAverage(mean_held_ms_, static_cast<double>(held.count()));
      server.health.RecordSuccess();
      break;
    case ExchangeResult::kRefused:
      ObserveAnswer(server, now);
      if (IsDataCentreFull(now)) {
        window_.OnCongestion(in_use(), now);
      }
      if (load) {
        ObserveLoad(server, *load, now);
      } else {
        server.other_requests = std::max(
            server.other_requests,
            static_cast<double>(server.info.slots + kRefusalLoadMargin -
                                server.own_requests));
        server.reported_at = now;
      }
      break;
    case ExchangeResult::kFailed:
    case ExchangeResult::kStalled:
      server.health.RecordFailure(now);
      break;
    case ExchangeResult::kAbandoned:
      break;
  }
}

int ServerPool::in_use() const {
  int out = 0;
  for (const auto& [id, it] : servers_) {
    out += it.own_requests;
  }
  return out;
}

std::chrono::milliseconds ServerPool::ExpectedWait(const SlotRequest& request,
                                                   TimePoint now) const {
  double own_requests = 0;
  bool any_room = false;
  for (const auto& [id, it] : servers_) {
    if (IsUsable(it, now) && Matches(it, request) && !IsExhausted(it, now)) {
      any_room = any_room || HasRoom(it, now);
      own_requests += std::max(1, it.own_requests);
    }
  }
  if (any_room && MayBegin(request, now) && WindowAllows(now)) {
    return std::chrono::milliseconds(0);
  }
  const auto ahead = std::count_if(
      waiting_.begin(), waiting_.end(),
      [&request](const SlotRequest& it) { return !GoesBefore(request, it); });
  if (own_requests == 0) {
    if (const auto wait = ExpectedPermitWait(ahead, now)) {
      return *wait;
    }
  }
  const double held = mean_held_ms_ > 0 ? mean_held_ms_ : kDefaultHeldMs;
  // Assumes that this daemon's slots are released at an even rate.
  return std::chrono::milliseconds(static_cast<std::int64_t>(
      held * (static_cast<double>(ahead) + 1) / std::max(1.0, own_requests)));
}

}  // namespace comfreyfold
