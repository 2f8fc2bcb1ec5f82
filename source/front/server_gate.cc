#include "front/server_gate.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace comfreyfold {

namespace {

// What servers told of their load fades, and clients leave: looked at again
// this often while waiting.
constexpr std::chrono::milliseconds kLookAgain{25};

std::chrono::milliseconds Until(TimePoint at, TimePoint now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(at - now);
}

}  // namespace

ServerGate::ServerGate(Loop& loop, FleetView& view, std::string data_centre)
    : loop_(loop), view_(view), data_centre_(std::move(data_centre)) {
  view_.OnChange([this] { Update(); });
}

ServerGate::Entrance& ServerGate::At(const std::string& service) {
  auto& out = entrances_[service];
  if (!out) {
    const auto config = view_.config();
    const auto it = config->services.find(service);
    const bool is_engine =
        it != config->services.end() && it->second.engine.has_value();
    out = std::make_unique<Entrance>(data_centre_, is_engine);
    Update();
  }
  return *out;
}

void ServerGate::Update() {
  const auto now = std::chrono::steady_clock::now();
  for (auto& [service, entrance] : entrances_) {
    if (!entrance) {
      continue;
    }
    std::vector<BackendServer> servers;
    for (const auto& [id, it] : view_.servers().servers()) {
      if (it.service == service) {
        servers.push_back(it);
      }
    }
    entrance->pool.Update(servers, now);
    Serve(*entrance);
  }
}

void ServerGate::Serve(Entrance& entrance) {
  if (entrance.waiters.empty()) {
    return;
  }
  for (auto& it : entrance.pool.AssignSlots(std::chrono::steady_clock::now())) {
    auto& waiter = entrance.waiters.at(it.ticket);
    waiter->place = std::move(it.slot);
    waiter->changed.NotifyAll();
  }
}

PlaceResult ServerGate::Enter(Fiber& fiber,
                              const std::string& service,
                              SlotRequest ask,
                              const std::function<bool()>& client_left) {
  auto& entrance = At(service);
  const auto start = std::chrono::steady_clock::now();
  ask.ticket = next_ticket_++;
  PlaceResult out;
  out.level = entrance.pool.LevelAt(start);
  out.place = entrance.pool.TryAcquire(ask, start);
  if (out.place) {
    return out;
  }
  out.expected_wait = entrance.pool.ExpectedWait(ask, start);
  if (entrance.pool.empty()) {
    out.reason = NoPlace::kNoServers;
    return out;
  }
  out.reason = NoPlace::kTooLong;
  if (out.expected_wait > Until(ask.acquire_by, start)) {
    return out;
  }
  auto waiter = std::make_shared<Waiter>(loop_);
  entrance.waiters.emplace(ask.ticket, waiter);
  entrance.pool.Enqueue(ask);
  // Those ahead may wait for servers that this request does not need.
  Serve(entrance);
  auto now = start;
  while (!waiter->place && now < ask.acquire_by) {
    waiter->changed.Wait(fiber,
                         std::clamp(Until(ask.acquire_by, now),
                                    std::chrono::milliseconds(1), kLookAgain));
    now = std::chrono::steady_clock::now();
    if (!waiter->place && client_left()) {
      out.reason = NoPlace::kLeft;
      break;
    }
    Serve(entrance);
  }
  entrance.pool.Cancel(ask.ticket);
  entrance.waiters.erase(ask.ticket);
  out.place = waiter->place;
  out.waited = Until(now, start);
  return out;
}

void ServerGate::Answered(const std::string& service,
                          const AcquiredSlot& place,
                          const std::optional<ServerLoad>& load,
                          std::chrono::milliseconds first_byte) {
  const auto now = std::chrono::steady_clock::now();
  At(service).pool.ObserveResponseStart(place.server_id, load, first_byte, now);
  if (load) {
    view_.loads().Record({place.server_id, load->running + load->waiting, {}},
                         now);
  }
}

void ServerGate::Heard(const LoadReport& note) {
  const auto now = std::chrono::steady_clock::now();
  for (auto& [service, entrance] : entrances_) {
    if (entrance) {
      entrance->pool.ObserveLoadReport(note, now);
    }
  }
}

void ServerGate::Leave(const std::string& service,
                       const AcquiredSlot& place,
                       ExchangeResult result,
                       const std::optional<ServerLoad>& load,
                       std::chrono::milliseconds held) {
  auto& entrance = At(service);
  entrance.pool.Release(place.server_id, result, load, held,
                        std::chrono::steady_clock::now());
  Serve(entrance);
}

std::size_t ServerGate::waiting() const {
  std::size_t out = 0;
  for (const auto& [service, it] : entrances_) {
    out += it->pool.waiting();
  }
  return out;
}

}  // namespace comfreyfold
