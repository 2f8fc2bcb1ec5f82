#include "server/backend_directory.h"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

namespace comfreyfold {

namespace {

bool Serves(const Backend& backend, const std::string& name) {
  const auto has = [&name](const std::vector<std::string>& names) {
    return std::find(names.begin(), names.end(), name) != names.end();
  };
  return has(backend.vm.serves) || has(backend.reports_models);
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
  loop_.Spawn([this](Fiber& fiber) { FollowList(fiber); });
  loop_.Spawn([this](Fiber& fiber) { FollowLoad(fiber); });
}

void BackendDirectory::FollowList(Fiber& fiber) {
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
      // The last list stands until the service answers again.
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

std::vector<AskedServer> BackendDirectory::Askable() const {
  std::vector<AskedServer> out;
  for (const auto& [id, backend] : backends_) {
    out.push_back({id, backend.in_flight > 0, backend.asked});
  }
  return out;
}

// The load of a server that nobody here follows soon says nothing; what is
// in flight from here and the share of the peers are known all the time.
void BackendDirectory::ForgetOldLoads() {
  const auto now = std::chrono::steady_clock::now();
  for (auto& [id, backend] : backends_) {
    if (followers_.Follows(id)) {
      continue;
    }
    backend.followed.reset();
    if (backend.asked &&
        now - *backend.asked > LoadFollowers::kReportLifetime) {
      backend.reported_running = 0;
      backend.reported_waiting = 0;
    }
  }
}

void BackendDirectory::FollowLoad(Fiber& fiber) {
  while (true) {
    ForgetOldLoads();
    const auto now = std::chrono::steady_clock::now();
    for (const auto& it : followers_.ServersToAsk(Askable(), now)) {
      backends_[it].asked = now;
      loop_.Spawn([this, it](Fiber& child) { ReadLoad(child, it); });
    }
    fiber.Sleep(load_interval_);
  }
}

void BackendDirectory::ReadLoad(Fiber& fiber, const std::string& id) {
  const auto* before = Find(id);
  if (before == nullptr) {
    return;
  }
  HttpOptions options;
  options.connect_timeout = load_interval_ * 2;
  options.idle_timeout = load_interval_ * 2;
  // A server that leaves may close its door and still answer on the
  // connections it has: only a new one tells.
  options.fresh_connection = true;
  nlohmann::json load;
  try {
    const auto reply =
        http_.Send(fiber, before->vm.address, {"GET", "/load"}, options);
    load = nlohmann::json::parse(reply.body, nullptr, false);
  } catch (const HttpFailure& e) {
    auto* backend = Find(id);
    if (backend != nullptr && e.sent()) {
      SetReachable(*backend, true);
    } else {
      Saw(id, ServerCondition::kUnreachable);
    }
    return;
  }
  auto* backend = Find(id);
  if (backend == nullptr) {
    return;
  }
  SetReachable(*backend, true);
  if (load.is_object()) {
    TakeLoad(*backend, load);
    Saw(id, load.value("draining", false) ? ServerCondition::kDraining
                                          : ServerCondition::kTakesWork);
  }
}

void BackendDirectory::TakeLoad(Backend& backend, const nlohmann::json& load) {
  backend.reports_models.clear();
  for (const auto& it : load.value("models", nlohmann::json::array())) {
    if (it.is_string()) {
      backend.reports_models.push_back(it.get<std::string>());
    }
  }
  backend.reported_running = load.value("running", 0);
  backend.reported_waiting = load.value("waiting", 0);
  backend.reported_slots = load.value("slots", 0);
  backend.reported_memory_tokens = load.value("memory_tokens", std::int64_t{0});
  backend.reported_held_tokens = load.value("held_tokens", std::int64_t{0});
}

void BackendDirectory::Saw(const std::string& id, ServerCondition condition) {
  auto* backend = Find(id);
  if (backend == nullptr) {
    return;
  }
  backend->seen_clock = log_.Stamp();
  SetCondition(*backend, condition);
  if (followers_.Follows(id)) {
    TellOfChange(*backend, condition);
  }
}

// Only what this daemon itself saw change is told: two followers of which
// one cannot reach the server would contradict each other without end.
void BackendDirectory::TellOfChange(Backend& backend,
                                    ServerCondition condition) {
  const auto before = backend.followed.value_or(backend.told);
  backend.followed = condition;
  if (before == condition || !on_change_) {
    return;
  }
  backend.told = condition;
  on_change_(
      {backend.vm.id, condition, backend.seen_clock, backend.reported_slots});
}

void BackendDirectory::ApplyPeerReport(const ServerState& state) {
  auto* backend = Find(state.server);
  if (backend == nullptr || state.clock <= backend->seen_clock) {
    return;
  }
  backend->seen_clock = state.clock;
  backend->told = state.condition;
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

void BackendDirectory::Doubt(const std::string& id) {
  loop_.Spawn([this, id](Fiber& fiber) { ReadLoad(fiber, id); });
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
