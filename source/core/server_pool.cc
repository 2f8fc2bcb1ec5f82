#include "core/server_pool.h"

#include <algorithm>
#include <cmath>

#include "core/hash.h"

namespace comfreyfold {

namespace {

// A load that a server told loses half its weight in this time: some lengths
// of a request, since others go on sending.
constexpr std::chrono::milliseconds kLoadHalfLife{1500};
// Costs are in milliseconds of a caller's time.
// An engine reads about 110 prompt tokens a millisecond (deployment sheet).
constexpr double kCostPerUncachedToken = 1.0 / 110;
// Each request in a batch lengthens the steps of all others by some 0.04 ms
// over some 35 steps, and theirs its own.
constexpr double kCostPerEngineRequest = 3;
// Tokens that a turn adds to its session (deployment sheet: 500 to 1,000).
constexpr std::int64_t kTokensOfOneTurn = 700;
// A turn served away from its session's home: other daemons will look for the
// session at the home and have to read about this much of it again there.
constexpr std::int64_t kTokensLostAway = 2000;
// Another data centre costs transfer rather than time.
constexpr double kCostOfDistance = 60;
// A server that this daemon has no connection to any more.
constexpr double kCostOfConnection = 3;
constexpr std::chrono::milliseconds kConnectionKept{4000};
constexpr double kCostOfColdServer = 50;
// A plain service that is full against one that is idle.
constexpr double kCostOfPlainRequest = 60;
// A server that failed this very request is the last resort.
constexpr double kCostOfFailure = 100000;
// A request waits no longer than that for a server that has its session
// cached while others are free.
constexpr std::chrono::milliseconds kLongestWaitForCached{150};
constexpr double kLatencyWeight = 0.1;  // Of the newest, in the mean.
// A server this much slower than the typical one is avoided.
constexpr double kSlowFactor = 2.5;
constexpr std::chrono::milliseconds kFirstSuspension{300};
constexpr std::chrono::milliseconds kLongestSuspension{2000};
constexpr int kFailuresToSuspend = 2;
constexpr int kRefusalLoadMargin = 1;
// Of the places of a data centre's servers.
constexpr double kCrowdedShare = 0.85;
// Congested: more than one waits for each so many slots.
constexpr int kSlotsPerWaiting = 4;
// Held places before the mean is known: a guess on the short side.
constexpr double kFirstHeldMs = 100;
// Requests at servers for each of their slots, up to which all programs begin,
// and beyond that up to which some do. Above nine tenths each further program
// slows all others by about what deployments grant a program beyond its time
// on idle servers. The most urgent kind is turned away last.
constexpr double kBeginLevel = 0.72;
constexpr double kBeginLevelUrgent = 0.06;
constexpr double kBeginLevelReturning = 0.05;
// One that was turned away for so long that it can only be late takes the place
// of others only while there is room for all.
constexpr double kBeginLevelLate = -0.1;
constexpr double kBeginSpread = 0.15;

double Halved(double value, std::chrono::duration<double, std::milli> age) {
  return value * std::exp2(-age.count() / kLoadHalfLife.count());
}

double Mean(double mean, double newest) {
  return mean == 0 ? newest
                   : mean * (1 - kLatencyWeight) + newest * kLatencyWeight;
}

// Programs under way go before new ones: under more load than the servers
// carry, beginning them all would make all of them late, and what was done for
// those that then fail is lost. Of each, programs that can still finish in
// time go before those that cannot, the tightest first.
bool MoreUrgent(const SlotRequest& a, const SlotRequest& b) {
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

}  // namespace

ServerPool::ServerPool(std::string data_centre, bool is_engine)
    : data_centre_(std::move(data_centre)), is_engine_(is_engine) {}

void ServerPool::Update(const std::vector<BackendServer>& servers,
                        TimePoint now) {
  std::set<std::string> present;
  for (const auto& it : servers) {
    present.insert(it.id);
    auto& server = servers_[it.id];
    const bool restarted =
        server.info.started != it.started || server.info.address != it.address;
    if (restarted && !server.info.id.empty()) {
      // A new start remembers nothing and owes nothing.
      server.cache.Clear();
      server.failures = 0;
      server.suspended_until = now;
      server.latency_ms = 0;
      server.others = 0;
    }
    server.info = it;
  }
  std::erase_if(servers_, [&present](const auto& it) {
    return present.count(it.first) == 0;
  });
  int places = 0;
  for (const auto& [id, it] : servers_) {
    places += it.info.leaving ? 0 : it.info.slots;
  }
  window_.SetPlaces(places);
}

bool ServerPool::Usable(const Server& server, TimePoint now) const {
  if (server.info.leaving) {
    return false;
  }
  return server.failures < kFailuresToSuspend ||
         (now >= server.suspended_until && !server.probing);
}

double ServerPool::Load(const Server& server, TimePoint now) const {
  return server.mine + Halved(server.others, now - server.told_at);
}

int ServerPool::Limit(const Server& server) const {
  return server.info.slots;
}

bool ServerPool::HasRoom(const Server& server, TimePoint now) const {
  return Load(server, now) < Limit(server);
}

// Whether a program may begin now. Every program that begins adds its turns to
// those of all others for seconds: admitting more than the servers carry makes
// all of them late, and the load stays for long after a burst has gone.
bool ServerPool::MayBegin(const SlotRequest& ask, TimePoint now) const {
  if (!is_engine_ || ask.stage == ProgramStage::kStarted) {
    return true;
  }
  const double returning = ask.late ? kBeginLevelLate : kBeginLevelReturning;
  const double all_begin =
      kBeginLevel + kBeginLevelUrgent / (1 + ask.priority) +
      (ask.stage == ProgramStage::kReturning ? returning : 0);
  // Daemons hear the same loads, and must not all open and close at the same
  // moment.
  const auto draw = Hash64(
      ask.session, static_cast<std::uint64_t>(now.time_since_epoch().count()));
  const double share = static_cast<double>(draw % 1000) / 1000;
  return level_.At(now) < all_begin + kBeginSpread * share;
}

// Whether the servers of this data centre are taken as a whole: that one of
// them has a queue is the choice of a server, not the load.
bool ServerPool::Crowded(TimePoint now) const {
  double taken = 0;
  double places = 0;
  for (const auto& [id, it] : servers_) {
    if (it.info.data_centre == data_centre_ && Usable(it, now)) {
      taken += std::min<double>(Load(it, now), Limit(it));
      places += Limit(it);
    }
  }
  return taken >= places * kCrowdedShare;
}

double ServerPool::TypicalLatency() const {
  std::vector<double> known;
  for (const auto& [id, it] : servers_) {
    if (it.latency_ms > 0) {
      known.push_back(it.latency_ms);
    }
  }
  if (known.empty()) {
    return 0;
  }
  const auto middle =
      known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
  std::nth_element(known.begin(), middle, known.end());
  return *middle;
}

// Other daemons serve turns of the session as well, and put them at its home
// unless that is full: there its earlier turns are likely to be cached, and
// whatever is read elsewhere is lost to them.
std::int64_t ServerPool::LikelyUncached(const Server& server,
                                        const SlotRequest& ask,
                                        bool is_home) const {
  const auto own = shared_.OwnTokens(ask.prompt);
  const auto uncached = std::min(own, server.cache.Uncached(ask.prompt));
  return is_home ? std::min(uncached, kTokensOfOneTurn)
                 : uncached + kTokensLostAway;
}

const ServerPool::Server* ServerPool::Home(const SlotRequest& ask,
                                           TimePoint now) const {
  const auto known = servers_.find(ask.cached_at);
  if (known != servers_.end() && Usable(known->second, now)) {
    return &known->second;
  }
  const Server* out = nullptr;
  std::uint64_t highest = 0;
  if (ask.session.empty()) {
    return nullptr;
  }
  const auto seed = Hash64(ask.session);
  for (const auto& [id, it] : servers_) {
    if (it.info.data_centre != data_centre_ || !Usable(it, now)) {
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
                        const SlotRequest& ask,
                        bool is_home,
                        TimePoint now) const {
  const double load = Load(server, now);
  double out = server.info.data_centre == data_centre_ ? 0 : kCostOfDistance;
  if (now - server.used_at > kConnectionKept) {
    out += kCostOfConnection;
  }
  if (server.info.cold_remaining.count() > 0) {
    out += kCostOfColdServer;
  }
  if (is_engine_) {
    // Reading a prompt holds up all requests of the batch.
    out += static_cast<double>(LikelyUncached(server, ask, is_home)) *
               kCostPerUncachedToken * (1 + load) +
           load * kCostPerEngineRequest;
  } else {
    // A plain service slows down as its slots fill up.
    out += load * kCostOfPlainRequest / server.info.slots;
  }
  const double typical = TypicalLatency();
  if (typical > 0 && server.latency_ms > typical * kSlowFactor) {
    out += server.latency_ms - typical;
  }
  return out;
}

// Time until a full server has a place for one more request.
double ServerPool::WaitAt(const Server& server, TimePoint now) const {
  const double excess = Load(server, now) - Limit(server) + 1;
  const double held = held_ms_ > 0 ? held_ms_ : kFirstHeldMs;
  return excess <= 0 ? 0 : excess * held / Limit(server);
}

// Full servers compete as well: under load it is better to wait for the one
// that has a session cached than to let others read it anew, which takes
// capacity from all. Null when waiting is best.
ServerPool::Server* ServerPool::Cheapest(const SlotRequest& ask,
                                         TimePoint now) {
  if (is_engine_ && !window_.HasRoom(in_use())) {
    return nullptr;
  }
  Server* best = nullptr;
  double best_cost = 0;
  const auto* home = is_engine_ ? Home(ask, now) : nullptr;
  const bool impatient = ask.stage != ProgramStage::kStarted ||
                         now - ask.arrived > kLongestWaitForCached;
  for (auto& [id, it] : servers_) {
    const bool has_room = HasRoom(it, now);
    if (!Usable(it, now) || (!has_room && (impatient || !is_engine_))) {
      continue;
    }
    const double cost = Cost(it, ask, &it == home, now) +
                        (ask.excluded.count(id) > 0 ? kCostOfFailure : 0) +
                        WaitAt(it, now);
    if (best == nullptr || cost < best_cost) {
      best = &it;
      best_cost = cost;
    }
  }
  return best != nullptr && HasRoom(*best, now) ? best : nullptr;
}

AcquiredSlot ServerPool::Acquire(Server& server,
                                 const SlotRequest& ask,
                                 TimePoint now) {
  server.used_at = now;
  shared_.Note(ask.session, ask.prompt);
  AcquiredSlot out;
  out.server_id = server.info.id;
  out.address = server.info.address;
  out.uncached_tokens = server.cache.Uncached(ask.prompt);
  out.in_other_data_centre = server.info.data_centre != data_centre_;
  server.cache.Used(ask.prompt);
  ++server.mine;
  if (server.failures >= kFailuresToSuspend) {
    server.probing = true;
  }
  return out;
}

std::optional<AcquiredSlot> ServerPool::TryAcquire(const SlotRequest& ask,
                                                   TimePoint now) {
  if (!MayBegin(ask, now)) {
    return std::nullopt;
  }
  const bool is_first =
      std::all_of(waiting_.begin(), waiting_.end(),
                  [&ask](const auto& it) { return MoreUrgent(ask, it); });
  if (!is_first) {
    return std::nullopt;
  }
  auto* server = Cheapest(ask, now);
  return server == nullptr ? std::nullopt
                           : std::optional(Acquire(*server, ask, now));
}

void ServerPool::Cancel(std::uint64_t ticket) {
  waiting_.remove_if(
      [ticket](const SlotRequest& it) { return it.ticket == ticket; });
}

std::vector<ServerPool::Assignment> ServerPool::AssignSlots(TimePoint now) {
  std::vector<Assignment> out;
  waiting_.sort(MoreUrgent);
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    auto* server = MayBegin(*it, now) ? Cheapest(*it, now) : nullptr;
    if (server == nullptr) {
      ++it;
      continue;
    }
    out.push_back({it->ticket, Acquire(*server, *it, now)});
    it = waiting_.erase(it);
  }
  return out;
}

void ServerPool::Told(Server& server, const ServerLoad& load, TimePoint now) {
  server.others = std::max(0, load.running + load.waiting - server.mine);
  server.told_at = now;
  level_.Note(load.running + load.waiting, load.slots, now);
  if (load.waiting * kSlotsPerWaiting > load.slots && Crowded(now)) {
    window_.Congested(in_use(), now);
  } else {
    window_.Served();
  }
}

void ServerPool::ObserveLoadReport(const LoadReport& note, TimePoint now) {
  const auto it = servers_.find(note.server_id);
  if (it == servers_.end() || now - note.age <= it->second.told_at) {
    return;
  }
  level_.Note(note.requests, it->second.info.slots, now);
  it->second.others = std::max(0, note.requests - it->second.mine);
  it->second.told_at = now - note.age;
}

void ServerPool::ObserveResponseStart(const std::string& server_id,
                                      const std::optional<ServerLoad>& load,
                                      std::chrono::milliseconds first_byte,
                                      TimePoint now) {
  const auto it = servers_.find(server_id);
  if (it == servers_.end()) {
    return;
  }
  auto& server = it->second;
  if (load) {
    Told(server, *load, now);
  }
  server.latency_ms =
      Mean(server.latency_ms, static_cast<double>(first_byte.count()));
  server.failures = 0;
  server.probing = false;
}

void ServerPool::Release(const std::string& server_id,
                         ExchangeResult result,
                         const std::optional<ServerLoad>& load,
                         std::chrono::milliseconds held,
                         TimePoint now) {
  const auto it = servers_.find(server_id);
  if (it == servers_.end()) {
    return;
  }
  auto& server = it->second;
  server.mine = std::max(0, server.mine - 1);
  server.probing = false;
  switch (result) {
    case ExchangeResult::kAnswered:
      held_ms_ = Mean(held_ms_, static_cast<double>(held.count()));
      server.failures = 0;
      break;
    case ExchangeResult::kRefused:
      if (Crowded(now)) {
        window_.Congested(in_use(), now);
      }
      if (load) {
        Told(server, *load, now);
      } else {
        server.others =
            std::max(server.others,
                     static_cast<double>(server.info.slots +
                                         kRefusalLoadMargin - server.mine));
        server.told_at = now;
      }
      break;
    case ExchangeResult::kFailed: {
      ++server.failures;
      const auto doubled =
          kFirstSuspension * (1 << std::min(server.failures, 4)) / 4;
      server.suspended_until = now + std::min<std::chrono::milliseconds>(
                                         doubled, kLongestSuspension);
      break;
    }
    case ExchangeResult::kAbandoned:
      break;
  }
}

int ServerPool::in_use() const {
  int out = 0;
  for (const auto& [id, it] : servers_) {
    out += it.mine;
  }
  return out;
}

std::chrono::milliseconds ServerPool::ExpectedWait(const SlotRequest& ask,
                                                   TimePoint now) const {
  double mine = 0;
  bool room = false;
  for (const auto& [id, it] : servers_) {
    if (Usable(it, now)) {
      room = room || HasRoom(it, now);
      mine += std::max(1, it.mine);
    }
  }
  if (room && MayBegin(ask, now) &&
      (!is_engine_ || window_.HasRoom(in_use()))) {
    return std::chrono::milliseconds(0);
  }
  const auto ahead = std::count_if(
      waiting_.begin(), waiting_.end(),
      [&ask](const SlotRequest& it) { return !MoreUrgent(ask, it); });
  const double held = held_ms_ > 0 ? held_ms_ : kFirstHeldMs;
  // Places of this daemon end at an even pace.
  return std::chrono::milliseconds(static_cast<std::int64_t>(
      held * (static_cast<double>(ahead) + 1) / std::max(1.0, mine)));
}

}  // namespace comfreyfold
