#include "front/server_admission.h"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace comfreyfold {

namespace {

// While a request waits, free slots and its client's connection are checked at
// this interval: reported loads lose weight with age, which can free slots
// without a notification.
constexpr std::chrono::milliseconds kPollInterval{25};
constexpr std::chrono::milliseconds kSilenceCheckInterval{100};

constexpr std::size_t kMaxUnreadableLimits = 1000;

std::chrono::milliseconds TimeBetween(TimePoint later, TimePoint earlier) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(later - earlier);
}

}  // namespace

ServerAdmission::ServerAdmission(Loop& loop,
                                 FleetView& view,
                                 DecisionLog& log,
                                 std::string data_centre)
    : loop_(loop),
      view_(view),
      log_(log),
      data_centre_(std::move(data_centre)),
      permits_(view.limits(), std::random_device{}()),
      origin_(std::random_device{}()) {
  view_.OnChange([this] { UpdateServers(); });
  loop_.Spawn([this](Fiber& fiber) { WatchForSilence(fiber); });
}

void ServerAdmission::RecordFault(ServerPool& pool,
                                  const std::string& server_id) {
  const auto now = std::chrono::steady_clock::now();
  const ServerFault fault{server_id, origin_, ++faults_, {}};
  view_.faults().Record(fault, now);
  pool.ObserveFault(fault, now);
}

void ServerAdmission::WatchForSilence(Fiber& fiber) {
  for (;;) {
    fiber.Sleep(kSilenceCheckInterval);
    for (auto& [service, queue] : queues_) {
      const auto silent =
          queue->pool.TakeSilentServers(std::chrono::steady_clock::now());
      for (const auto& it : silent) {
        log_.Write("server_silent", "", {{"server", it}});
        RecordFault(queue->pool, it);
      }
    }
  }
}

void ServerAdmission::ObserveFault(const ServerFault& fault) {
  const auto now = std::chrono::steady_clock::now();
  for (auto& [service, queue] : queues_) {
    queue->pool.ObserveFault(fault, now);
  }
}

ServerAdmission::ServiceQueue& ServerAdmission::QueueOf(
    const std::string& service) {
  auto& out = queues_[service];
  if (!out) {
    const auto config = view_.config();
    const auto it = config->services.find(service);
    const bool is_engine =
        it != config->services.end() && it->second.engine.has_value();
    out = std::make_unique<ServiceQueue>(data_centre_, is_engine, origin_,
                                         permits_);
    out->pool.OnFaultyChange([this](const std::string& server, bool faulty) {
      log_.Write(faulty ? "server_avoided" : "server_regained", "",
                 {{"server", server}});
    });
    UpdateServers();
  }
  return *out;
}

void ServerAdmission::UpdateServers() {
  const auto now = std::chrono::steady_clock::now();
  for (auto& [service, queue] : queues_) {
    if (!queue) {
      continue;
    }
    std::vector<BackendServer> servers;
    for (const auto& [id, it] : view_.servers().servers()) {
      if (it.service == service) {
        servers.push_back(it);
      }
    }
    queue->pool.Update(servers, now);
    AssignSlots(*queue);
  }
}

void ServerAdmission::AssignSlots(ServiceQueue& queue) {
  if (queue.waiters.empty() && !permits_.AnyLimits()) {
    return;
  }
  const auto now = std::chrono::steady_clock::now();
  for (auto& it : queue.pool.AssignSlots(now)) {
    auto& waiter = queue.waiters.at(it.ticket);
    waiter->slot = std::move(it.slot);
    waiter->changed.NotifyAll();
  }
  AskForPermits(queue);
}

void ServerAdmission::AskForPermits(ServiceQueue& queue) {
  if (!permits_.AnyLimits()) {
    return;
  }
  const auto now = std::chrono::steady_clock::now();
  queue.pool.UpdateWantedPermits(now);
  if (on_permits_wanted_ && permits_.HasWants(now)) {
    on_permits_wanted_();
  }
}

SlotResult ServerAdmission::Acquire(Fiber& fiber,
                                    const std::string& service,
                                    SlotRequest request,
                                    const std::function<bool()>& client_gone) {
  auto& queue = QueueOf(service);
  const auto start = std::chrono::steady_clock::now();
  request.ticket = next_ticket_++;
  SlotResult out;
  out.load_level = queue.pool.LevelAt(start);
  out.slot = queue.pool.TryAcquire(request, start);
  if (out.slot) {
    // Requests that wait may want other permits now.
    AssignSlots(queue);
    return out;
  }
  out.expected_wait = queue.pool.ExpectedWait(request, start);
  if (queue.pool.empty()) {
    out.reason = SlotFailure::kNoServers;
    return out;
  }
  if (!queue.pool.HasVersionFor(request)) {
    out.reason = SlotFailure::kNoVersion;
    return out;
  }
  out.reason = SlotFailure::kWaitTooLong;
  if (!queue.pool.MayBegin(request, start) ||
      out.expected_wait > TimeBetween(request.acquire_by, start)) {
    return out;
  }
  auto waiter = std::make_shared<Waiter>(loop_);
  queue.waiters.emplace(request.ticket, waiter);
  queue.pool.Enqueue(request);
  // Requests ahead in the queue may be waiting for servers that this request
  // does not need.
  AssignSlots(queue);
  auto now = start;
  while (!waiter->slot && now < request.acquire_by) {
    waiter->changed.Wait(
        fiber, std::clamp(TimeBetween(request.acquire_by, now),
                          std::chrono::milliseconds(1), kPollInterval));
    now = std::chrono::steady_clock::now();
    if (!waiter->slot && client_gone()) {
      out.reason = SlotFailure::kClientLeft;
      break;
    }
    if (!waiter->slot && !queue.pool.HasVersionFor(request)) {
      out.reason = SlotFailure::kNoVersion;
      break;
    }
    AssignSlots(queue);
  }
  queue.pool.Cancel(request.ticket);
  queue.waiters.erase(request.ticket);
  out.slot = waiter->slot;
  out.queue_time = TimeBetween(now, start);
  return out;
}

void ServerAdmission::ObserveResponseStart(
    const std::string& service,
    const AcquiredSlot& slot,
    const std::optional<ServerLoad>& load,
    std::chrono::milliseconds first_byte) {
  const auto now = std::chrono::steady_clock::now();
  QueueOf(service).pool.ObserveResponseStart(slot, load, first_byte, now);
  if (load) {
    view_.loads().Record({slot.server_id, load->running + load->waiting, {}},
                         now);
  }
}

void ServerAdmission::ObserveLimit(const AcquiredSlot& slot,
                                   const ServerAnswer& answer) {
  if (!answer.tells_limit) {
    return;
  }
  if (!answer.unreadable_limit.empty()) {
    if (unreadable_limits_.size() >= kMaxUnreadableLimits) {
      unreadable_limits_.clear();
    }
    if (unreadable_limits_.insert(slot.server_id).second) {
      log_.Write(
          "server_limit_unreadable", "",
          {{"server", slot.server_id}, {"text", answer.unreadable_limit}});
    }
    return;
  }
  const auto now = std::chrono::steady_clock::now();
  const bool changed =
      answer.limit_per_second
          ? view_.limits().Record({slot.server_id,
                                   slot.server_started,
                                   answer.limit_per_second,
                                   {}},
                                  now)
          : view_.limits().RecordUnlimited(slot.server_id, slot.server_started,
                                           slot.acquired_at, now);
  if (changed) {
    log_.Write("server_limit", "",
               {{"server", slot.server_id},
                {"per_second", LimitText(answer.limit_per_second)}});
    OnLimitsChanged();
  }
}

void ServerAdmission::OnLimitsChanged() {
  for (auto& [service, queue] : queues_) {
    if (queue) {
      AssignSlots(*queue);
    }
  }
}

// The answer may come from a server that has taken over the address.
void ServerAdmission::ObserveLeaving(const AcquiredSlot& slot) {
  if (view_.MarkServerLeaving(slot.address)) {
    log_.Write("server_leaving", "",
               {{"server", slot.server_id}, {"address", slot.address}});
  }
}

void ServerAdmission::ObserveLoadReport(const LoadReport& report) {
  const auto now = std::chrono::steady_clock::now();
  for (auto& [service, queue] : queues_) {
    if (queue) {
      queue->pool.ObserveLoadReport(report, now);
    }
  }
}

void ServerAdmission::Release(const std::string& service,
                              const AcquiredSlot& slot,
                              ExchangeResult result,
                              const std::optional<ServerLoad>& load,
                              std::chrono::milliseconds held) {
  auto& queue = QueueOf(service);
  queue.pool.Release(slot, result, load, held,
                     std::chrono::steady_clock::now());
  if (result == ExchangeResult::kFailed || result == ExchangeResult::kStalled) {
    RecordFault(queue.pool, slot.server_id);
  }
  AssignSlots(queue);
}

std::string ServerAdmission::PreferredVersion(const std::string& service,
                                              const std::string& session) {
  return QueueOf(service).pool.PreferredVersion(
      session, std::chrono::steady_clock::now());
}

std::size_t ServerAdmission::waiting() const {
  std::size_t out = 0;
  for (const auto& [service, it] : queues_) {
    out += it->pool.waiting();
  }
  return out;
}

}  // namespace comfreyfold
