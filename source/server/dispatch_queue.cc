#include "server/dispatch_queue.h"

#include <utility>

#include "core/call_error.h"
#include "core/hash.h"

namespace comfreyfold {

namespace {

using std::chrono::milliseconds;

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

ServerSlot::ServerSlot(DispatchQueue& queue, const Dispatch& dispatch)
    : queue_(queue), dispatch_(dispatch), started_at_(Now()) {
  outcome_.id = dispatch.id;
  // Until the result is known, the engine is assumed to hold the same tokens as
  // before the call.
  outcome_.tokens = dispatch.choice.cached_tokens;
  outcome_.cached = dispatch.choice.cached_tokens;
  queue_.AdjustInFlight(server(), 1);
}

ServerSlot::~ServerSlot() {
  outcome_.service = Now() - started_at_;
  queue_.AdjustInFlight(server(), -1);
  queue_.scheduler_.Finished(outcome_, Now());
  queue_.DispatchReady();
}

void ServerSlot::MarkSucceeded(std::int64_t tokens, std::int64_t cached) {
  outcome_.tokens = tokens;
  outcome_.cached = cached;
}

void ServerSlot::MarkFailed() {
  outcome_.failed = true;
}

DispatchQueue::DispatchQueue(Loop& loop,
                             BackendDirectory& directory,
                             VmRole role,
                             const DecisionSettings& settings,
                             const std::string& daemon)
    : directory_(directory),
      role_(role),
      scheduler_(
          settings,
          Hash64(daemon),
          [this](const ScheduledCall& call) { return ServersFor(call); }),
      changed_(loop) {}

std::vector<std::string> DispatchQueue::ServersFor(const ScheduledCall& call) {
  std::vector<std::string> out;
  for (const auto* it : directory_.Serving(role_, call.target)) {
    scheduler_.chooser().SetServer(it->vm.id, true);
    out.push_back(it->vm.id);
  }
  return out;
}

void DispatchQueue::AdjustInFlight(const std::string& server, int change) {
  if (auto* backend = directory_.Find(server)) {
    backend->in_flight += change;
  }
}

void DispatchQueue::DispatchReady() {
  bool dispatched_any = false;
  while (const auto dispatch = scheduler_.Next(Now())) {
    granted_[dispatch->id] = *dispatch;
    dispatched_any = true;
  }
  if (dispatched_any) {
    changed_.NotifyAll();
  }
}

std::unique_ptr<ServerSlot> DispatchQueue::Enter(Fiber& fiber,
                                                 ScheduledCall call,
                                                 milliseconds timeout) {
  const auto id = next_id_++;
  call.id = id;
  call.time_left = timeout;
  const auto decision = scheduler_.Submit(call, Now());
  if (!decision.accepted) {
    throw CallError(429, "queue_full",
                    "the customer has too many waiting calls to serve this one "
                    "in time; retry after the given time",
                    Verdict::kNotRun, decision.retry_after);
  }
  DispatchReady();
  const bool granted = changed_.WaitUntil(
      fiber, timeout, [this, id] { return granted_.contains(id); });
  if (!granted) {
    scheduler_.Cancel(id);
    throw CallError(503, "no_server_free",
                    "no server for '" + call.target +
                        "' became free in time; retry with the same "
                        "Idempotency-Key",
                    Verdict::kNotRun, kRetrySoon);
  }
  const auto dispatch = granted_.extract(id).mapped();
  return std::make_unique<ServerSlot>(*this, dispatch);
}

void DispatchQueue::Refresh(const Membership& membership) {
  const auto now = Now();
  auto& chooser = scheduler_.chooser();
  chooser.SetOwnedLanes(static_cast<int>(membership.self().lanes.size()));
  for (const auto& [id, peer] : membership.peers()) {
    if (membership.IsLive(id, now)) {
      chooser.ObservePeer(id, static_cast<int>(peer.lanes.size()), now);
    }
  }
  for (const auto& id : chooser.Servers()) {
    if (directory_.Find(id) == nullptr) {
      chooser.RemoveServer(id);
      scheduler_.health().Remove(id);
    }
  }
  for (const auto& [id, backend] : directory_.all()) {
    if (backend.vm.role == role_) {
      chooser.SetServer(id, directory_.TakesWork(id));
      chooser.ObserveLoad(
          id, {backend.reported_running, backend.reported_waiting,
               backend.reported_slots, backend.reported_memory_tokens,
               backend.reported_held_tokens});
    }
  }
  DispatchReady();
}

}  // namespace comfreyfold
