#include "core/call_scheduler.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "core/hash.h"

namespace comfreyfold {

namespace {

using std::chrono::nanoseconds;

constexpr char kReservationKey[] = "urgent";
constexpr std::chrono::milliseconds kReservedLifetime{100};

}  // namespace

CallScheduler::CallScheduler(const DecisionSettings& settings,
                             std::uint64_t seed,
                             ServerLookup servers)
    : settings_(settings),
      servers_(std::move(servers)),
      chooser_(settings, seed),
      health_(settings),
      queue_(settings.aging),
      urgent_queue_(settings.aging),
      admission_(settings) {}

nanoseconds CallScheduler::CostOf(const ScheduledCall& call) const {
  const auto added = std::max<std::int64_t>(
      0, call.request.prompt_tokens - call.request.seen_tokens);
  return added * settings_.prefill_per_token + call.generation;
}

AdmissionDecision CallScheduler::Submit(const ScheduledCall& call,
                                        TimePoint now) {
  const QueuedCall queued{
      call.id,      call.customer, call.weight, call.priority,
      CostOf(call), call.attained, now};
  AdmissionDecision decision;
  if (call.urgent) {
    ReserveFor(call.target);
    urgent_queue_.Push(queued);
  } else {
    const auto backlog = queue_.Backlog(call.customer);
    const bool waits = backlog > nanoseconds::zero();
    decision = admission_.Decide(
        {queued.cost, backlog, call.weight,
         queue_.ActiveWeight() + (waits ? 0 : call.weight),
         chooser_.ShareOfSlots(now), call.first_call, call.time_left});
    if (!decision.accepted) {
      return decision;
    }
    queue_.Push(queued);
  }
  waiting_[call.id] = call;
  return decision;
}

void CallScheduler::ReserveFor(const std::string& target) {
  if (urgent_targets_.insert(target).second) {
    reserved_at_ = TimePoint();
  }
}

std::vector<std::string> CallScheduler::HealthyServers(
    const ScheduledCall& call,
    TimePoint now) const {
  std::vector<BackendHealth::Candidate> candidates;
  for (auto& it : servers_(call)) {
    const int in_flight = chooser_.InFlight(it);
    candidates.push_back({std::move(it), in_flight});
  }
  return health_.Usable(candidates, now);
}

// Daemons cannot agree on free slots within the deadline of an urgent call.
// Rendezvous hashing lets them agree on whole servers without any messages, and
// replaces a server that fails by the next one in the order.
std::vector<std::string> CallScheduler::ReservedServers(
    std::vector<std::string> usable) const {
  if (usable.size() < 2 || settings_.urgent_server_share <= 0) {
    return usable;
  }
  const auto count = std::clamp<std::size_t>(
      static_cast<std::size_t>(std::ceil(static_cast<double>(usable.size()) *
                                         settings_.urgent_server_share)),
      1, usable.size() - 1);
  auto order = RendezvousOrder(kReservationKey, std::move(usable));
  order.resize(count);
  return order;
}

void CallScheduler::RefreshReservedServers(TimePoint now) {
  if (now - reserved_at_ < kReservedLifetime && reserved_at_ != TimePoint()) {
    return;
  }
  reserved_at_ = now;
  reserved_.clear();
  for (const auto& it : urgent_targets_) {
    ScheduledCall urgent;
    urgent.target = it;
    const auto usable = HealthyServers(urgent, now);
    if (usable.size() < 2) {
      continue;
    }
    for (auto& id : ReservedServers(usable)) {
      reserved_.insert(std::move(id));
    }
  }
}

std::vector<std::string> CallScheduler::UsableServers(const ScheduledCall& call,
                                                      TimePoint now) {
  if (!call.server.empty()) {
    return {call.server};
  }
  auto usable = HealthyServers(call, now);
  if (!settings_.queue_calls || settings_.urgent_server_share <= 0) {
    return usable;
  }
  if (call.urgent) {
    return ReservedServers(std::move(usable));
  }
  RefreshReservedServers(now);
  std::vector<std::string> unreserved;
  std::copy_if(usable.begin(), usable.end(), std::back_inserter(unreserved),
               [this](const auto& it) { return !reserved_.contains(it); });
  return unreserved.empty() ? usable : unreserved;
}

std::optional<EngineChoice> CallScheduler::ChooseServerWithRoom(
    const ScheduledCall& call,
    const std::vector<std::string>& usable,
    TimePoint now) {
  std::vector<std::string> free;
  for (const auto& it : usable) {
    if (chooser_.HasRoom(it, now)) {
      free.push_back(it);
    }
  }
  return free.empty() ? std::nullopt : chooser_.Choose(call.request, free, now);
}

// A call whose best server is full waits for it as long as the wait costs
// less than the prefill elsewhere. A call past the age limit takes any free
// slot.
std::optional<EngineChoice> CallScheduler::ChooseServer(
    const QueuedCall& queued,
    TimePoint now) {
  const auto& call = waiting_.at(queued.id);
  const auto usable = UsableServers(call, now);
  if (usable.empty()) {
    return std::nullopt;
  }
  const bool aged = now - queued.arrived >= settings_.aging;
  if (settings_.queue_calls && aged && !call.urgent) {
    return ChooseServerWithRoom(call, usable, now);
  }
  auto choice = chooser_.Choose(call.request, usable, now);
  const bool may_dispatch =
      choice && (!settings_.queue_calls || call.urgent || choice->has_room);
  return may_dispatch ? choice : std::nullopt;
}

bool CallScheduler::AnyRoom(TimePoint now) const {
  return !settings_.queue_calls || chooser_.AnyRoom(now);
}

Dispatch CallScheduler::Start(const QueuedCall& queued,
                              const EngineChoice& choice) {
  auto call = std::move(waiting_.at(queued.id));
  waiting_.erase(queued.id);
  chooser_.Dispatched(choice.engine);
  running_[queued.id] = {std::move(call), choice.engine, queued.cost};
  return {queued.id, choice};
}

std::optional<Dispatch> CallScheduler::Next(TimePoint now) {
  std::optional<EngineChoice> choice;
  const auto fits = [&](const QueuedCall& queued) {
    choice = ChooseServer(queued, now);
    return choice.has_value();
  };
  if (const auto urgent = urgent_queue_.Take(now, fits)) {
    return Start(*urgent, *choice);
  }
  if (queue_.size() == 0 || !AnyRoom(now)) {
    return std::nullopt;
  }
  if (const auto queued = queue_.Take(now, fits)) {
    return Start(*queued, *choice);
  }
  return std::nullopt;
}

void CallScheduler::Finished(const CallOutcome& outcome, TimePoint now) {
  const auto it = running_.find(outcome.id);
  if (it == running_.end()) {
    return;
  }
  const auto& [call, server, cost] = it->second;
  chooser_.Finished({server, call.request.program, outcome.tokens,
                     outcome.cached, outcome.service, !outcome.failed},
                    now);
  if (outcome.failed) {
    health_.Failed(server, now);
  } else {
    health_.Succeeded(server);
  }
  if (!call.urgent) {
    queue_.Charge(call.customer, call.weight, outcome.service - cost);
  }
  running_.erase(it);
}

bool CallScheduler::Cancel(std::uint64_t id) {
  const bool was_waiting = queue_.Remove(id) || urgent_queue_.Remove(id);
  waiting_.erase(id);
  return was_waiting;
}

}  // namespace comfreyfold
