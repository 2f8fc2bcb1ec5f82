#include "core/engine_chooser.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "core/hash.h"

namespace comfreyfold {

namespace {

using std::chrono::nanoseconds;

constexpr int kAverageWindow = 32;  // Calls that a moving average spans.
constexpr double kResidenceStep = 0.25;
// Cost of a server whose slots are all taken, as a share of the mean service
// time. It separates servers that are equal otherwise and is too small to move
// a program away from its cache.
constexpr double kLoadCostShare = 0.05;

nanoseconds Scale(nanoseconds time, double factor) {
  return nanoseconds(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

}  // namespace

EngineChooser::EngineChooser(const DecisionSettings& settings,
                             std::uint64_t seed)
    : settings_(settings), seed_(seed) {}

void EngineChooser::SetServer(const std::string& id, bool takes_work) {
  const auto [it, added] = servers_.try_emplace(id);
  if (added || it->second.takes_work != takes_work) {
    it->second.takes_work = takes_work;
    UpdateTotalSlots();
  }
}

void EngineChooser::RemoveServer(const std::string& id) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) {
    return;
  }
  own_calls_ -= it->second.own_calls;
  servers_.erase(it);
  UpdateTotalSlots();
}

std::vector<std::string> EngineChooser::Servers() const {
  std::vector<std::string> out;
  for (const auto& [id, server] : servers_) {
    out.push_back(id);
  }
  return out;
}

void EngineChooser::ObserveLoad(const std::string& id, const EngineLoad& load) {
  const auto it = servers_.find(id);
  if (it != servers_.end()) {
    const bool resized = it->second.load.slots != load.slots;
    it->second.load = load;
    if (resized) {
      UpdateTotalSlots();
    }
  }
}

void EngineChooser::ObservePeer(const std::string& peer,
                                int owned_lanes,
                                TimePoint now) {
  peers_[peer] = {owned_lanes, now};
}

void EngineChooser::Dispatched(const std::string& id) {
  mean_own_calls_ += (own_calls_ - mean_own_calls_) / kAverageWindow;
  ++servers_[id].own_calls;
  ++own_calls_;
}

void EngineChooser::Finished(const Finish& finish, TimePoint now) {
  const auto it = servers_.find(finish.server);
  if (it == servers_.end()) {
    return;
  }
  if (it->second.own_calls > 0) {
    --it->second.own_calls;
    --own_calls_;
  }
  if (!finish.ran) {
    return;
  }
  mean_service_ =
      mean_service_ == nanoseconds::zero()
          ? finish.service
          : mean_service_ + (finish.service - mean_service_) / kAverageWindow;
  const auto* prefix = FindPrefix(it->second, finish.program);
  if (prefix != nullptr) {
    UpdateResidence(it->second, now - finish.service - prefix->used_at,
                    finish.cached < prefix->tokens / 2);
  }
  SetCached(finish.server, finish.program, finish.tokens, now);
}

// Learns the residence time from whether an engine still had the prefix of a
// program at the program's next turn. The engines' cache events come late and
// with gaps and did not improve this estimate.
void EngineChooser::UpdateResidence(Server& server,
                                    nanoseconds idle,
                                    bool lost) {
  auto& estimate = server.residence;
  if (lost && (!estimate || idle < *estimate)) {
    const auto before = estimate.value_or(idle);
    estimate = before + Scale(idle - before, kResidenceStep);
  } else if (!lost && estimate && idle > *estimate) {
    *estimate += Scale(idle - *estimate, kResidenceStep);
  }
}

void EngineChooser::SetCached(const std::string& id,
                              const std::string& program,
                              std::int64_t tokens,
                              TimePoint now) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) {
    return;
  }
  if (tokens > 0) {
    it->second.prefixes[program] = {tokens, now};
  } else {
    it->second.prefixes.erase(program);
  }
}

void EngineChooser::Forget(const std::string& program) {
  for (auto& [id, server] : servers_) {
    server.prefixes.erase(program);
  }
}

const EngineChooser::CachedPrefix* EngineChooser::FindPrefix(
    const Server& server,
    const std::string& program) {
  const auto it = server.prefixes.find(program);
  return it == server.prefixes.end() ? nullptr : &it->second;
}

std::vector<std::string> EngineChooser::Candidates(
    const std::vector<std::string>& among,
    const EngineRequest& request) const {
  std::vector<std::string> out;
  for (const auto& [id, server] : servers_) {
    const bool named = among.empty() ||
                       std::find(among.begin(), among.end(), id) != among.end();
    if (named && server.takes_work && !request.avoid.contains(id)) {
      out.push_back(id);
    }
  }
  return out;
}

std::optional<EngineChoice> EngineChooser::Choose(
    const EngineRequest& request,
    const std::vector<std::string>& among,
    TimePoint now) {
  auto ids = Candidates(among, request);
  if (ids.empty()) {
    // A server that failed this call is better than none.
    EngineRequest without_avoid = request;
    without_avoid.avoid.clear();
    ids = Candidates(among, without_avoid);
  }
  if (ids.empty()) {
    return std::nullopt;
  }
  if (settings_.policy == EnginePolicy::kRoundRobin) {
    return Evaluate(ids[(seed_ + rotation_++) % ids.size()], request, now);
  }
  if (settings_.policy == EnginePolicy::kLeastLoaded) {
    return Evaluate(LeastLoaded(ids), request, now);
  }
  // Each daemon breaks ties differently, so that they do not all choose the
  // same engine when engines look alike.
  std::optional<EngineChoice> best;
  std::uint64_t best_tie = 0;
  for (const auto& it : ids) {
    auto choice = Evaluate(it, request, now);
    const auto tie = Hash64(it, seed_ ^ Hash64(request.program));
    if (!best || std::tie(choice.cost, tie) < std::tie(best->cost, best_tie)) {
      best = std::move(choice);
      best_tie = tie;
    }
  }
  return best;
}

std::string EngineChooser::LeastLoaded(const std::vector<std::string>& ids) {
  const auto load = [this](const std::string& id) {
    const auto& it = servers_.at(id).load;
    return it.running + it.waiting;
  };
  const auto first = (seed_ + rotation_++) % ids.size();
  auto best = ids[first];
  for (std::size_t i = 1; i < ids.size(); ++i) {
    const auto& it = ids[(first + i) % ids.size()];
    if (load(it) < load(best)) {
      best = it;
    }
  }
  return best;
}

EngineChoice EngineChooser::Evaluate(const std::string& id,
                                     const EngineRequest& request,
                                     TimePoint now) const {
  const auto& server = servers_.at(id);
  EngineChoice out;
  out.engine = id;
  const auto* prefix = FindPrefix(server, request.program);
  if (prefix != nullptr && IsResident(server, *prefix, now)) {
    out.cached_tokens = std::min(prefix->tokens, request.prompt_tokens);
  }
  const auto imported = std::max<std::int64_t>(
      0, std::min(request.exported_tokens, request.prompt_tokens) -
             out.cached_tokens);
  const auto missing = request.prompt_tokens - out.cached_tokens - imported;
  const auto recomputed = std::max<std::int64_t>(
      0, std::min(request.seen_tokens, request.prompt_tokens) -
             out.cached_tokens - imported);
  const double occupancy = Occupancy(id, now);
  const double slots = SlotsOf(server);
  if (occupancy + 1 > slots) {
    out.wait = Scale(mean_service_, (occupancy + 1 - slots) / slots);
  }
  const auto prefill = missing * settings_.prefill_per_token +
                       imported * settings_.import_per_token;
  const auto load = Scale(mean_service_, kLoadCostShare * occupancy / slots);
  out.cost =
      Scale(out.wait + prefill + load, settings_.latency_weight) +
      Scale(recomputed * settings_.prefill_per_token, settings_.cache_weight);
  out.has_room = HasRoom(id, now);
  return out;
}

int EngineChooser::SlotsOf(const Server& server) const {
  return std::max(
      1, server.load.slots > 0 ? server.load.slots : settings_.engine_slots);
}

int EngineChooser::InFlight(const std::string& id) const {
  const auto it = servers_.find(id);
  return it == servers_.end() ? 0 : it->second.own_calls;
}

// The share follows from the lanes that the daemons own, which change rarely. A
// peer's count of its calls at one server is older than most calls last, and
// daemons that relied on it would all send their calls to the same server.
double EngineChooser::Share(TimePoint now) const {
  int daemons = 1;
  int all_lanes = owned_lanes_;
  for (const auto& [peer, entry] : peers_) {
    if (now - entry.reported_at <= settings_.peer_report_timeout) {
      ++daemons;
      all_lanes += entry.owned_lanes;
    }
  }
  const double even = 1.0 / daemons;
  return all_lanes == 0
             ? even
             : std::max(even, static_cast<double>(owned_lanes_) / all_lanes);
}

// Assumes that the peers have as many calls per slot as this daemon, spread
// over all servers. Scaling up this daemon's calls at the one server instead
// drove programs from their caches at low load, because the few calls of one
// daemon at one server are mostly chance.
double EngineChooser::Occupancy(const std::string& id, TimePoint now) const {
  const auto it = servers_.find(id);
  if (it == servers_.end()) {
    return 0;
  }
  const double peers = mean_own_calls_ * (1 / Share(now) - 1);
  const double slot_share = static_cast<double>(SlotsOf(it->second)) /
                            std::max({1, total_slots_, SlotsOf(it->second)});
  return it->second.own_calls + peers * slot_share;
}

int EngineChooser::DaemonCount(TimePoint now) const {
  int out = 1;
  for (const auto& [peer, entry] : peers_) {
    out += now - entry.reported_at <= settings_.peer_report_timeout ? 1 : 0;
  }
  return out;
}

int EngineChooser::CallLimit(int slots, TimePoint now) const {
  return std::max(1, static_cast<int>(std::ceil(
                         slots * settings_.slot_headroom * Share(now))));
}

// Within its share of all slots this daemon may exceed its share of one server
// while the peers leave room there.
bool EngineChooser::HasRoom(const std::string& id, TimePoint now) const {
  const auto it = servers_.find(id);
  if (it == servers_.end() || own_calls_ >= CallLimit(total_slots_, now)) {
    return false;
  }
  const int slots = SlotsOf(it->second);
  return it->second.own_calls < CallLimit(slots, now) ||
         Occupancy(id, now) + 1 <= slots * settings_.slot_headroom;
}

bool EngineChooser::AnyRoom(TimePoint now) const {
  return std::any_of(servers_.begin(), servers_.end(), [&](const auto& it) {
    return it.second.takes_work && HasRoom(it.first, now);
  });
}

void EngineChooser::UpdateTotalSlots() {
  total_slots_ = 0;
  for (const auto& [id, server] : servers_) {
    total_slots_ += server.takes_work ? SlotsOf(server) : 0;
  }
}

int EngineChooser::ShareOfSlots(TimePoint now) const {
  return std::max(1, static_cast<int>(total_slots_ * Share(now)));
}

std::optional<nanoseconds> EngineChooser::Residence(
    const std::string& id) const {
  const auto it = servers_.find(id);
  return it == servers_.end() ? std::nullopt : it->second.residence;
}

std::int64_t EngineChooser::MemoryTokens(const std::string& id) const {
  const auto it = servers_.find(id);
  return it == servers_.end() ? 0 : it->second.load.memory_tokens;
}

bool EngineChooser::MemoryShort(const std::string& id) const {
  const auto it = servers_.find(id);
  if (it == servers_.end() || it->second.load.memory_tokens == 0 ||
      settings_.hold_memory_share <= 0) {
    return false;
  }
  const auto& load = it->second.load;
  return static_cast<double>(load.held_tokens) >
         settings_.hold_memory_share * static_cast<double>(load.memory_tokens);
}

bool EngineChooser::IsResident(const Server& server,
                               const CachedPrefix& prefix,
                               TimePoint now) {
  return !server.residence || now - prefix.used_at <= *server.residence;
}

std::int64_t EngineChooser::HeldTokens(const std::string& id,
                                       TimePoint now) const {
  std::int64_t out = 0;
  const auto it = servers_.find(id);
  if (it == servers_.end()) {
    return out;
  }
  for (const auto& [program, prefix] : it->second.prefixes) {
    out += IsResident(it->second, prefix, now) ? prefix.tokens : 0;
  }
  return out;
}

std::int64_t EngineChooser::CachedTokens(const std::string& id,
                                         const std::string& program) const {
  const auto it = servers_.find(id);
  const auto* prefix =
      it == servers_.end() ? nullptr : FindPrefix(it->second, program);
  return prefix == nullptr ? 0 : prefix->tokens;
}

}  // namespace comfreyfold
