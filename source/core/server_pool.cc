#include "core/server_pool.h"

#include <algorithm>
#include <cmath>

#include "core/hash.h"

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
// Cost of a full server of a plain service, compared with an idle one.
constexpr double kFullServerCost = 60;
// Makes a server that failed the same request the last resort.
constexpr double kExcludedServerCost = 100000;
// A request waits at most this long for the server that has its session cached
// while other servers are free.
constexpr std::chrono::milliseconds kMaxWaitForCachedServer{150};
constexpr double kNewestWeight = 0.1;  // In moving averages.
// A server is avoided when its latency exceeds the median by this factor.
constexpr double kSlowLatencyFactor = 2.5;
constexpr std::chrono::milliseconds kFirstSuspension{300};
constexpr std::chrono::milliseconds kMaxSuspension{2000};
constexpr int kFailuresToSuspend = 2;
constexpr int kRefusalLoadMargin = 1;
// Faults of a server in a row, over all daemons, from which on it counts as
// faulty. Answers get around within half a second, so that the faults of a
// server that fails a few requests of a hundred are rarely in a row.
constexpr std::size_t kFaultsInRow = 4;
// Daemons that have to see them: a daemon may be cut off itself.
constexpr std::size_t kFaultedDaemons = 2;
// A faulty server is left alone for the first time and a part of the second.
// The first daemon that tries it tells all others how that went.
constexpr std::chrono::milliseconds kAvoidTime{1000};
constexpr std::chrono::milliseconds kAvoidSpread{6000};
// A server that has begun no answer for this time, on requests to which others
// begin theirs within some 100 ms, is probably dead or cut off.
constexpr std::chrono::milliseconds kSilenceTime{600};
// Share of taken slots from which on a data centre counts as full.
constexpr double kFullDataCentreShare = 0.85;
// Requests per slot from which on a daemon keeps to its window.
constexpr double kWindowLevel = 0.9;
// A server is congested when more than one request waits per this many slots.
constexpr int kSlotsPerWaitingRequest = 4;
// Time that a slot is held, until the average is known; deliberately short.
constexpr double kDefaultHeldMs = 100;
// Thresholds on the load level, which is the number of requests at servers per
// slot, for programs that have not begun. Below the sum of kBeginLevel and the
// terms for priority and stage all of them begin; above it a share that falls
// to none over kBeginSpread. Above a level of 0.9 each further program slows
// all others by about the time that deployments grant a program beyond its time
// on idle servers. The most urgent priority is refused last.
constexpr double kBeginLevel = 0.76;
constexpr double kBeginLevelUrgent = 0.06;
constexpr double kBeginLevelReturning = 0.05;
// Replaces kBeginLevelReturning for a program that was refused for so long that
// it can no longer finish in time: it begins only while there is room for all.
constexpr double kBeginLevelLate = -0.1;
constexpr double kBeginSpread = 0.15;

double Decayed(double value, std::chrono::duration<double, std::milli> age) {
  return value * std::exp2(-age.count() / kLoadHalfLife.count());
}

void EraseOne(std::multiset<TimePoint>& times, TimePoint time) {
  const auto it = times.find(time);
  if (it != times.end()) {
    times.erase(it);
  }
}

double MovingAverage(double mean, double newest) {
  return mean == 0 ? newest
                   : mean * (1 - kNewestWeight) + newest * kNewestWeight;
}

// Programs that have begun go before all others: under overload, beginning
// every program would make all of them late and waste the work done for those
// that then fail. At equal priority and stage, programs that can still finish
// in time go before those that cannot, the earliest must_start_by first.
bool GoesBefore(const SlotRequest& a, const SlotRequest& b) {
  const bool a_started = a.stage == ProgramStage::kStarted;
  if (a_started != (b.stage == ProgramStage::kStarted)) {
    return a_started;
  }
  if (a.priority != b.priority) {
    return a.priority < b.priority;
  }
  if (a.stage != b.stage) {
    return a.stage < b.stage;
  }
  if (a.late != b.late) {
    return b.late;
  }
  if (a.must_start_by != b.must_start_by && !a.late) {
    return a.must_start_by < b.must_start_by;
  }
  return a.arrived < b.arrived;
}

// A program that returns after a refusal goes before new ones, unless it would
// take the place of one that can still finish in time.
double StageTerm(const SlotRequest& request) {
  if (request.stage != ProgramStage::kReturning) {
    return 0;
  }
  return request.late || request.late_at_present_load ? kBeginLevelLate
                                                      : kBeginLevelReturning;
}

}  // namespace

ServerPool::ServerPool(std::string data_centre,
                       bool is_engine,
                       std::uint64_t seed)
    : data_centre_(std::move(data_centre)),
      is_engine_(is_engine),
      random_(seed) {}

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
      server.consecutive_failures = 0;
      server.incomplete_answers = 0;
      server.suspended_until = now;
      server.latency_ms = 0;
      server.other_requests = 0;
      ObserveAnswer(server, now);
    }
    server.info = it;
  }
  std::erase_if(servers_, [&present](const auto& it) {
    return present.count(it.first) == 0;
  });
  int total_slots = 0;
  for (const auto& [id, it] : servers_) {
    total_slots += it.info.leaving ? 0 : it.info.slots;
  }
  window_.SetSlots(total_slots);
}

bool ServerPool::IsUsable(const Server& server, TimePoint now) const {
  if (server.info.leaving) {
    return false;
  }
  const bool failing = IsFailing(server);
  const bool suspended = failing && now < server.suspended_until;
  const bool avoided = IsFaulty(server) && now < server.avoided_until;
  const bool on_trial = server.probing && (failing || IsFaulty(server));
  return !suspended && !avoided && !on_trial;
}

bool ServerPool::IsFailing(const Server& server) {
  return std::max(server.consecutive_failures, server.incomplete_answers) >=
         kFailuresToSuspend;
}

void ServerPool::ObserveFailure(Server& server, TimePoint now) {
  ++server.consecutive_failures;
  ++server.incomplete_answers;
  const auto failures =
      std::max(server.consecutive_failures, server.incomplete_answers);
  const auto doubled = kFirstSuspension * (1 << std::min(failures, 4)) / 4;
  server.suspended_until =
      now + std::min<std::chrono::milliseconds>(doubled, kMaxSuspension);
}

bool ServerPool::IsFaulty(const Server& server) {
  const auto& origins = server.faulted_origins;
  return origins.size() >= kFaultsInRow &&
         std::set<std::uint64_t>(origins.begin(), origins.end()).size() >=
             kFaultedDaemons;
}

void ServerPool::Avoid(Server& server, TimePoint now) {
  server.avoided_until =
      now + kAvoidTime +
      std::chrono::milliseconds(
          random_() % static_cast<std::uint64_t>(kAvoidSpread.count()));
}

void ServerPool::ObserveAnswer(Server& server, TimePoint at) {
  server.answered_at = std::max(server.answered_at, at);
  if (server.answered_at < server.faulted_at) {
    return;
  }
  const bool was_faulty = IsFaulty(server);
  server.faulted_origins.clear();
  if (was_faulty && on_faulty_change_) {
    on_faulty_change_(server.info.id, false);
  }
}

void ServerPool::ObserveFault(const ServerFault& fault, TimePoint now) {
  const auto it = servers_.find(fault.server_id);
  const auto failed_at = now - fault.age;
  if (it == servers_.end() || failed_at <= it->second.answered_at) {
    return;
  }
  auto& server = it->second;
  const bool was_faulty = IsFaulty(server);
  if (server.faulted_origins.size() < 2 * kFaultsInRow) {
    server.faulted_origins.push_back(fault.origin);
  }
  server.faulted_at = std::max(server.faulted_at, failed_at);
  if (!was_faulty && IsFaulty(server)) {
    Avoid(server, now);
    if (on_faulty_change_) {
      on_faulty_change_(server.info.id, true);
    }
  }
}

std::vector<std::string> ServerPool::TakeSilentServers(TimePoint now) {
  std::vector<std::string> out;
  for (auto& [id, it] : servers_) {
    while (!it.unanswered.empty() &&
           now - *it.unanswered.begin() > kSilenceTime) {
      if (it.answered_at < *it.unanswered.begin()) {
        out.push_back(id);
      }
      it.unanswered.erase(it.unanswered.begin());
    }
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

// Whether a program may begin now. A program that begins adds its turns to the
// load for seconds: admitting more programs than the servers can carry makes
// all of them late and keeps the load high long after a burst has ended.
bool ServerPool::MayBegin(const SlotRequest& request, TimePoint now) const {
  if (!is_engine_ || request.stage == ProgramStage::kStarted) {
    return true;
  }
  const double threshold = kBeginLevel +
                           kBeginLevelUrgent / (1 + request.priority) +
                           StageTerm(request);
  // All daemons get the same load reports. The draw keeps them from admitting
  // and refusing programs in lockstep.
  const auto draw =
      Hash64(request.session,
             static_cast<std::uint64_t>(now.time_since_epoch().count()));
  const double share = static_cast<double>(draw % 1000) / 1000;
  return level_.At(now) < threshold + kBeginSpread * share;
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
  if (known != servers_.end() && IsUsable(known->second, now)) {
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
    if (it.info.data_centre != data_centre_ || !IsUsable(it, now)) {
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
                        TimePoint now) const {
  const double load = LoadOf(server, now);
  double out =
      server.info.data_centre == data_centre_ ? 0 : kOtherDataCentreCost;
  if (now - server.used_at > kConnectionIdleTime) {
    out += kNewConnectionCost;
  }
  if (server.info.cold_remaining.count() > 0) {
    out += kColdServerCost;
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
  const auto* home = is_engine_ ? HomeServer(request, now) : nullptr;
  const bool free_servers_only =
      request.stage != ProgramStage::kStarted ||
      now - request.arrived > kMaxWaitForCachedServer;
  for (auto& [id, it] : servers_) {
    const bool has_room = HasRoom(it, now);
    if (!IsUsable(it, now) ||
        (!has_room && (free_servers_only || !is_engine_))) {
      continue;
    }
    const double cost =
        Cost(it, request, &it == home, now) +
        (request.excluded.count(id) > 0 ? kExcludedServerCost : 0) +
        ExpectedWaitMs(it, now);
    if (best == nullptr || cost < best_cost) {
      best = &it;
      best_cost = cost;
    }
  }
  return best != nullptr && HasRoom(*best, now) ? best : nullptr;
}

AcquiredSlot ServerPool::Acquire(Server& server,
                                 const SlotRequest& request,
                                 TimePoint now) {
  server.used_at = now;
  shared_parts_.Record(request.session, request.prompt);
  AcquiredSlot out;
  out.server_id = server.info.id;
  out.address = server.info.address;
  out.uncached_tokens = server.cache.UncachedTokens(request.prompt);
  out.in_other_data_centre = server.info.data_centre != data_centre_;
  server.cache.RecordUse(request.prompt);
  out.acquired_at = now;
  server.unanswered.insert(now);
  ++server.own_requests;
  if (IsFailing(server) || IsFaulty(server)) {
    server.probing = true;
    out.is_probe = true;
    Avoid(server, now);
  }
  return out;
}

std::optional<AcquiredSlot> ServerPool::TryAcquire(const SlotRequest& request,
                                                   TimePoint now) {
  if (!MayBegin(request, now)) {
    return std::nullopt;
  }
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
  level_.Record(load.running + load.waiting, load.slots, now);
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
  level_.Record(report.requests, it->second.info.slots, now);
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
  EraseOne(server.unanswered, slot.acquired_at);
  ObserveAnswer(server, now);
  if (load) {
    ObserveLoad(server, *load, now);
  }
  server.latency_ms =
      MovingAverage(server.latency_ms, static_cast<double>(first_byte.count()));
  server.consecutive_failures = 0;
  server.probing = false;
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
  EraseOne(server.unanswered, slot.acquired_at);
  server.own_requests = std::max(0, server.own_requests - 1);
  server.probing = server.probing && !slot.is_probe;
  switch (result) {
    case ExchangeResult::kAnswered:
      ObserveAnswer(server, now);
      mean_held_ms_ =
          MovingAverage(mean_held_ms_, static_cast<double>(held.count()));
      server.consecutive_failures = 0;
      server.incomplete_answers = 0;
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
      ObserveFailure(server, now);
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
    if (IsUsable(it, now)) {
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
  const double held = mean_held_ms_ > 0 ? mean_held_ms_ : kDefaultHeldMs;
  // Assumes that this daemon's slots are released at an even rate.
  return std::chrono::milliseconds(static_cast<std::int64_t>(
      held * (static_cast<double>(ahead) + 1) / std::max(1.0, own_requests)));
}

}  // namespace comfreyfold
