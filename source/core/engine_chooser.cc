#include "core/engine_chooser.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "core/hash.h"

namespace comfreyfold {

namespace {

using std::chrono::nanoseconds;

constexpr int kMeanWindow = 32;  // Calls that a mean spans.
constexpr double kResidenceStep = 0.25;
// Of the mean service time, for a server whose slots are all taken but not
// queued on: parts equals without driving a program from its cache.
constexpr double kLoadShare = 0.05;

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
    CountSlots();
  }
}

void EngineChooser::RemoveServer(const std::string& id) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) {
    return;
  }
  own_ -= it->second.own;
  servers_.erase(it);
  CountSlots();
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
      CountSlots();
    }
  }
}

void EngineChooser::ObservePeer(const std::string& peer,
                                int work,
                                TimePoint now) {
  peers_[peer] = {work, now};
}

void EngineChooser::Dispatched(const std::string& id) {
  mean_own_ += (own_ - mean_own_) / kMeanWindow;
  ++servers_[id].own;
  ++own_;
}

void EngineChooser::Finished(const Finish& finish, TimePoint now) {
  const auto it = servers_.find(finish.server);
  if (it == servers_.end()) {
    return;
  }
  if (it->second.own > 0) {
    --it->second.own;
    --own_;
  }
  if (!finish.ran) {
    return;
  }
  mean_service_ =
      mean_service_ == nanoseconds::zero()
          ? finish.service
          : mean_service_ + (finish.service - mean_service_) / kMeanWindow;
  const auto* belief = Find(it->second, finish.program);
  if (belief != nullptr) {
    LearnResidence(it->second, now - finish.service - belief->used,
                   finish.cached < belief->tokens / 2);
  }
  SetCached(finish.server, finish.program, finish.tokens, now);
}

// What an engine is seen to have kept or lost at each turn says how long it
// keeps things; its cache events, late and with gaps, added nothing to that.
void EngineChooser::LearnResidence(Server& server,
                                   nanoseconds idle,
                                   bool lost) {
  auto& known = server.residence;
  if (lost && (!known || idle < *known)) {
    const auto before = known.value_or(idle);
    known = before + Scale(idle - before, kResidenceStep);
  } else if (!lost && known && idle > *known) {
    *known += Scale(idle - *known, kResidenceStep);
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
    it->second.beliefs[program] = {tokens, now};
  } else {
    it->second.beliefs.erase(program);
  }
}

void EngineChooser::Forget(const std::string& program) {
  for (auto& [id, server] : servers_) {
    server.beliefs.erase(program);
  }
}

const EngineChooser::Belief* EngineChooser::Find(const Server& server,
                                                 const std::string& program) {
  const auto it = server.beliefs.find(program);
  return it == server.beliefs.end() ? nullptr : &it->second;
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
    // A server that failed this call is still better than none.
    EngineRequest again = request;
    again.avoid.clear();
    ids = Candidates(among, again);
  }
  if (ids.empty()) {
    return std::nullopt;
  }
  if (settings_.policy == EnginePolicy::kRoundRobin) {
    return Weigh(ids[(seed_ + turn_++) % ids.size()], request, now);
  }
  if (settings_.policy == EnginePolicy::kLeastLoaded) {
    return Weigh(LeastLoaded(ids), request, now);
  }
  // Ties fall differently on each daemon, so that they do not all go to the
  // same engine when all engines look alike.
  std::optional<EngineChoice> best;
  std::uint64_t best_tie = 0;
  for (const auto& it : ids) {
    auto choice = Weigh(it, request, now);
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
  const auto first = (seed_ + turn_++) % ids.size();
  auto best = ids[first];
  for (std::size_t i = 1; i < ids.size(); ++i) {
    const auto& it = ids[(first + i) % ids.size()];
    if (load(it) < load(best)) {
      best = it;
    }
  }
  return best;
}

EngineChoice EngineChooser::Weigh(const std::string& id,
                                  const EngineRequest& request,
                                  TimePoint now) const {
  const auto& server = servers_.at(id);
  EngineChoice out;
  out.engine = id;
  const auto* belief = Find(server, request.program);
  if (belief != nullptr && Believed(server, *belief, now)) {
    out.cached_tokens = std::min(belief->tokens, request.prompt_tokens);
  }
  const auto imported = std::max<std::int64_t>(
      0, std::min(request.exported_tokens, request.prompt_tokens) -
             out.cached_tokens);
  const auto missing = request.prompt_tokens - out.cached_tokens - imported;
  const auto again = std::max<std::int64_t>(
      0, std::min(request.seen_tokens, request.prompt_tokens) -
             out.cached_tokens - imported);
  const double occupancy = Occupancy(id, now);
  const double slots = Slots(server);
  if (occupancy + 1 > slots) {
    out.wait = Scale(mean_service_, (occupancy + 1 - slots) / slots);
  }
  const auto fill = missing * settings_.prefill_per_token +
                    imported * settings_.import_per_token;
  const auto load = Scale(mean_service_, kLoadShare * occupancy / slots);
  out.cost = Scale(out.wait + fill + load, settings_.latency_weight) +
             Scale(again * settings_.prefill_per_token, settings_.cache_weight);
  out.has_room = HasRoom(id, now);
  return out;
}

int EngineChooser::Slots(const Server& server) const {
  return std::max(
      1, server.load.slots > 0 ? server.load.slots : settings_.engine_slots);
}

int EngineChooser::InFlight(const std::string& id) const {
  const auto it = servers_.find(id);
  return it == servers_.end() ? 0 : it->second.own;
}

// A peer's count at one server is older than most of its calls last, and
// every daemon that believed it would send its calls to the same place. Which
// lanes the peers own changes seldom: it says which part of the servers is
// this daemon's.
double EngineChooser::Share(TimePoint now) const {
  int daemons = 1;
  int all = work_;
  for (const auto& [peer, entry] : peers_) {
    if (now - entry.told <= settings_.peer_report_timeout) {
      ++daemons;
      all += entry.work;
    }
  }
  const double even = 1.0 / daemons;
  return all == 0 ? even : std::max(even, static_cast<double>(work_) / all);
}

// The peers have as many calls for each of their slots as this daemon has,
// but not on the same servers: its own few calls on one server are mostly
// chance, and taking the peers to have them there too drove programs from
// their caches at rest.
double EngineChooser::Occupancy(const std::string& id, TimePoint now) const {
  const auto it = servers_.find(id);
  if (it == servers_.end()) {
    return 0;
  }
  const double peers = mean_own_ * (1 / Share(now) - 1);
  const double part = static_cast<double>(Slots(it->second)) /
                      std::max({1, total_slots_, Slots(it->second)});
  return it->second.own + peers * part;
}

int EngineChooser::DaemonCount(TimePoint now) const {
  int out = 1;
  for (const auto& [peer, entry] : peers_) {
    out += now - entry.told <= settings_.peer_report_timeout ? 1 : 0;
  }
  return out;
}

int EngineChooser::RoomFor(int slots, TimePoint now) const {
  return std::max(1, static_cast<int>(std::ceil(
                         slots * settings_.slot_headroom * Share(now))));
}

// Within its share of all slots this daemon may fill a server beyond its
// part there while the peers leave room.
bool EngineChooser::HasRoom(const std::string& id, TimePoint now) const {
  const auto it = servers_.find(id);
  if (it == servers_.end() || own_ >= RoomFor(total_slots_, now)) {
    return false;
  }
  const int slots = Slots(it->second);
  return it->second.own < RoomFor(slots, now) ||
         Occupancy(id, now) + 1 <= slots * settings_.slot_headroom;
}

bool EngineChooser::AnyRoom(TimePoint now) const {
  return std::any_of(servers_.begin(), servers_.end(), [&](const auto& it) {
    return it.second.takes_work && HasRoom(it.first, now);
  });
}

void EngineChooser::CountSlots() {
  total_slots_ = 0;
  for (const auto& [id, server] : servers_) {
    total_slots_ += server.takes_work ? Slots(server) : 0;
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

bool EngineChooser::Believed(const Server& server,
                             const Belief& belief,
                             TimePoint now) {
  return !server.residence || now - belief.used <= *server.residence;
}

std::int64_t EngineChooser::HeldTokens(const std::string& id,
                                       TimePoint now) const {
  std::int64_t out = 0;
  const auto it = servers_.find(id);
  if (it == servers_.end()) {
    return out;
  }
  for (const auto& [program, belief] : it->second.beliefs) {
    out += Believed(it->second, belief, now) ? belief.tokens : 0;
  }
  return out;
}

std::int64_t EngineChooser::Cached(const std::string& id,
                                   const std::string& program) const {
  const auto it = servers_.find(id);
  const auto* belief =
      it == servers_.end() ? nullptr : Find(it->second, program);
  return belief == nullptr ? 0 : belief->tokens;
}

}  // namespace comfreyfold
