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
                                   std::chrono::milliseconds load_interval)
    : loop_(loop),
      http_(http),
      vms_(vms),
      log_(log),
      list_interval_(list_interval),
      load_interval_(load_interval) {}

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

void BackendDirectory::FollowLoad(Fiber& fiber) {
  while (true) {
    std::vector<std::string> ids;
    for (const auto& [id, backend] : backends_) {
      ids.push_back(id);
    }
    for (const auto& it : ids) {
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
    SetReachable(id, e.sent());
    return;
  }
  SetReachable(id, true);
  auto* backend = Find(id);
  if (backend == nullptr || !load.is_object()) {
    return;
  }
  backend->reports_models.clear();
  for (const auto& it : load.value("models", nlohmann::json::array())) {
    if (it.is_string()) {
      backend->reports_models.push_back(it.get<std::string>());
    }
  }
  backend->reported_running = load.value("running", 0);
  backend->reported_waiting = load.value("waiting", 0);
  backend->reported_slots = load.value("slots", 0);
  backend->reported_memory_tokens =
      load.value("memory_tokens", std::int64_t{0});
  const bool draining = load.value("draining", false);
  if (draining && !backend->draining) {
    log_.Write({.name = "backend_draining", .backend = id});
  }
  backend->draining = draining;
}

void BackendDirectory::SetReachable(const std::string& id, bool reachable) {
  auto* backend = Find(id);
  if (backend == nullptr || backend->reachable == reachable) {
    return;
  }
  backend->reachable = reachable;
  log_.Write({.name = reachable ? "backend_reachable" : "backend_unreachable",
              .backend = id});
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
