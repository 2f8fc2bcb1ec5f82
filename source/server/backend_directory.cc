#include "server/backend_directory.h"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

#include "net/json_parser.h"

namespace comfreyfold {

namespace {

bool Serves(const Backend& backend, const std::string& name) {
  const auto includes = [&name](const std::vector<std::string>& names) {
    return std::find(names.begin(), names.end(), name) != names.end();
  };
  return includes(backend.vm.serves) || includes(backend.reported_models);
}

}  // namespace

BackendDirectory::BackendDirectory(Loop& loop,
                                   HttpClient& http,
                                   VmListClient& vms,
                                   EventLog& log,
                                   std::chrono::milliseconds list_interval,
                                   std::chrono::milliseconds load_interval,
                                   LoadFollowers followers)
    : loop_(loop),
      http_(http),
      vms_(vms),
      log_(log),
      list_interval_(list_interval),
      load_interval_(load_interval),
      followers_(std::move(followers)) {}

void BackendDirectory::Start() {
  loop_.Spawn([this](Fiber& fiber) { PollVmList(fiber); });
  loop_.Spawn([this](Fiber& fiber) { PollLoads(fiber); });
}

void BackendDirectory::PollVmList(Fiber& fiber) {
  while (true) {
    try {
      std::set<std::string> listed;
      for (auto& it : vms_.List(fiber)) {
        listed.insert(it.id);
        backends_[it.id].vm = it;
      }
      std::erase_if(backends_, [&listed](const auto& it) {
        return !listed.contains(it.first) && it.second.in_flight == 0;
      });
      loaded_ = true;
    } catch (const std::runtime_error&) {
      // The last list remains valid until the service answers again.
    }
    fiber.Sleep(list_interval_);
  }
}

void BackendDirectory::SetDaemons(const std::vector<std::string>& daemons) {
  followers_.SetDaemons(daemons);
}

void BackendDirectory::OnChange(std::function<void(const ServerState&)> hook) {
  on_change_ = std::move(hook);
}

std::vector<PolledServer> BackendDirectory::PollCandidates() const {
  std::vector<PolledServer> out;
  for (const auto& [id, backend] : backends_) {
    out.push_back({id, backend.in_flight > 0, backend.last_polled});
  }
  return out;
}

// Clears load reports that are too old, of servers that this daemon does not
// follow. The calls in flight from this daemon and the peers' shares remain
// known without a report.
void BackendDirectory::ExpireLoads() {
  const auto now = std::chrono::steady_clock::now();
  for (auto& [id, backend] : backends_) {
    if (followers_.Follows(id)) {
      continue;
    }
    backend.observed_condition.reset();
    if (backend.last_polled &&
        now - *backend.last_polled > LoadFollowers::kReportLifetime) {
      backend.reported_running = 0;
      backend.reported_waiting = 0;
    }
  }
}

void BackendDirectory::PollLoads(Fiber& fiber) {
  while (true) {
    ExpireLoads();
    const auto now = std::chrono::steady_clock::now();
    for (const auto& it : followers_.ServersToPoll(PollCandidates(), now)) {
      backends_[it].last_polled = now;
      loop_.Spawn([this, it](Fiber& child) { PollLoad(child, it); });
    }
    fiber.Sleep(load_interval_);
  }
}

void BackendDirectory::PollLoad(Fiber& fiber, const std::string& id) {
  const auto* previous = Find(id);
  if (previous == nullptr) {
    return;
  }
  HttpOptions options;
  options.connect_timeout = load_interval_ * 2;
  options.idle_timeout = load_interval_ * 2;
  // A server that is shutting down may stop accepting connections and still
  // answer on open ones, so only a new connection shows whether it is
  // reachable.
  options.fresh_connection = true;
  nlohmann::json load;
  try {
    const auto reply =
        http_.Send(fiber, previous->vm.address, {"GET", "/load"}, options);
    load = ParseJson(reply.body);
  } catch (const HttpFailure& e) {
    auto* backend = Find(id);
    if (backend != nullptr && e.sent()) {
      SetReachable(*backend, true);
    } else {
      RecordCondition(id, ServerCondition::kUnreachable);
    }
    return;
  }
  auto* backend = Find(id);
  if (backend == nullptr) {
    return;
  }
  SetReachable(*backend, true);
  if (load.is_object()) {
    ApplyLoadReport(*backend, load);
    RecordCondition(id, load.value("draining", false)
                            ? ServerCondition::kDraining
                            : ServerCondition::kTakesWork);
  }
}

void BackendDirectory::ApplyLoadReport(Backend& backend,
                                       const nlohmann::json& load) {
  backend.reported_models.clear();
  for (const auto& it : load.value("models", nlohmann::json::array())) {
    if (it.is_string()) {
      backend.reported_models.push_back(it.get<std::string>());
    }
  }
  backend.reported_running = load.value("running", 0);
  backend.reported_waiting = load.value("waiting", 0);
  backend.reported_slots = load.value("slots", 0);
  backend.reported_memory_tokens = load.value("memory_tokens", std::int64_t{0});
  backend.reported_held_tokens = load.value("held_tokens", std::int64_t{0});
}

void BackendDirectory::RecordCondition(const std::string& id,
                                       ServerCondition condition) {
  auto* backend = Find(id);
  if (backend == nullptr) {
    return;
  }
  backend->condition_clock = log_.Stamp();
  SetCondition(*backend, condition);
  if (followers_.Follows(id)) {
    PublishChange(*backend, condition);
  }
}

// Publishes a change only when this daemon's own observation has changed.
// Otherwise two followers, one of which cannot reach the server, would
// contradict each other forever.
void BackendDirectory::PublishChange(Backend& backend,
                                     ServerCondition condition) {
  const auto previous =
      backend.observed_condition.value_or(backend.published_condition);
  backend.observed_condition = condition;
  if (previous == condition || !on_change_) {
    return;
  }
  backend.published_condition = condition;
  on_change_({backend.vm.id, condition, backend.condition_clock,
              backend.reported_slots});
}

void BackendDirectory::ApplyPeerReport(const ServerState& state) {
  auto* backend = Find(state.server);
  if (backend == nullptr || state.clock <= backend->condition_clock) {
    return;
  }
  backend->condition_clock = state.clock;
  backend->published_condition = state.condition;
  if (state.slots > 0) {
    backend->reported_slots = state.slots;
  }
  SetCondition(*backend, state.condition);
}

void BackendDirectory::SetCondition(Backend& backend,
                                    ServerCondition condition) {
  SetReachable(backend, condition != ServerCondition::kUnreachable);
  if (condition == ServerCondition::kUnreachable) {
    return;
  }
  const bool draining = condition == ServerCondition::kDraining;
  if (draining && !backend.draining) {
    log_.Write({.name = "backend_draining", .backend = backend.vm.id});
  }
  backend.draining = draining;
}

void BackendDirectory::SetReachable(Backend& backend, bool reachable) {
  if (backend.reachable == reachable) {
    return;
  }
  backend.reachable = reachable;
  log_.Write({.name = reachable ? "backend_reachable" : "backend_unreachable",
              .backend = backend.vm.id});
}

bool BackendDirectory::TakesWork(const std::string& id) const {
  const auto it = backends_.find(id);
  return it != backends_.end() && it->second.vm.state == VmState::kLive &&
         !it->second.draining && it->second.reachable;
}

void BackendDirectory::RecheckLoad(const std::string& id) {
  loop_.Spawn([this, id](Fiber& fiber) { PollLoad(fiber, id); });
}

std::vector<Backend*> BackendDirectory::Serving(VmRole role,
                                                const std::string& name) {
  std::vector<Backend*> out;
  std::vector<Backend*> unreachable;
  for (auto& [id, backend] : backends_) {
    if (backend.vm.role != role || backend.vm.state != VmState::kLive ||
        backend.draining || !Serves(backend, name)) {
      continue;
    }
    (backend.reachable ? out : unreachable).push_back(&backend);
  }
  return out.empty() ? unreachable : out;
}

Backend* BackendDirectory::Find(const std::string& id) {
  const auto it = backends_.find(id);
  return it == backends_.end() ? nullptr : &it->second;
}

}  // namespace comfreyfold
