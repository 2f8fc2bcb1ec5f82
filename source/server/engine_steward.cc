#include "server/engine_steward.h"

#include <algorithm>
#include <utility>

#include "clients/contract_keys.h"
#include "core/hash.h"
#include "core/ini_reader.h"

namespace comfreyfold {

namespace {
using std::chrono::milliseconds;
using std::chrono::steady_clock;
}  // namespace

EngineSteward::EngineSteward(Loop& loop,
                             KvClient& kv,
                             EngineOrderClient& orders,
                             WeightStoreClient& weights,
                             OrderFence& fence,
                             Membership& membership,
                             BackendDirectory& directory,
                             ContractStore& contracts,
                             EventLog& log,
                             milliseconds interval)
    : loop_(loop),
      kv_(kv),
      orders_(orders),
      weights_(weights),
      fence_(fence),
      membership_(membership),
      directory_(directory),
      contracts_(contracts),
      log_(log),
      interval_(interval) {}

void EngineSteward::Start() {
  if (!weights_.configured()) {
    return;
  }
  loop_.Spawn([this](Fiber& fiber) {
    while (true) {
      try {
        Round(fiber);
      } catch (const KvUnavailable&) {
        // Engines keep what they have through an outage.
      }
      fiber.Sleep(interval_);
    }
  });
}

void EngineSteward::Round(Fiber& fiber) {
  if (contracts_.revision() != plan_.revision) {
    ReadPlan(fiber);
  }
  if (plan_.placements.empty()) {
    return;
  }
  for (const auto& it : Engines()) {
    if (Mine(it) && busy_.insert(it).second) {
      loop_.Spawn([this, it](Fiber& child) {
        Tend(child, it);
        busy_.erase(it);
      });
    }
  }
}

void EngineSteward::ReadPlan(Fiber& fiber) {
  Plan plan;
  // Read after the revision: if the placements are newer than it, the fence
  // refuses until the contracts have caught up.
  plan.revision = contracts_.revision();
  for (const auto& it : kv_.Prefix(fiber, kPlacementPrefix).items) {
    try {
      plan.placements.push_back(ParsePlacement(it.value, it.key));
    } catch (const IniError& e) {
      log_.Write({.name = "placement_unreadable", .detail = e.what()});
    }
  }
  plan_ = std::move(plan);
}

std::vector<std::string> EngineSteward::Engines() const {
  std::vector<std::string> out;
  for (const auto& [id, backend] : directory_.all()) {
    if (backend.vm.role == VmRole::kEngine && directory_.TakesWork(id)) {
      out.push_back(id);
    }
  }
  return out;
}

bool EngineSteward::Mine(const std::string& engine) const {
  const auto order = RendezvousOrder("steward/" + engine,
                                     membership_.Eligible(steady_clock::now()));
  return !order.empty() && order.front() == membership_.self().daemon;
}

void EngineSteward::Tend(Fiber& fiber, const std::string& id) {
  const auto* backend = directory_.Find(id);
  if (backend == nullptr) {
    return;
  }
  try {
    // What the engine says goes before what was ordered: an order may have
    // been lost, or an engine started again.
    const auto state = orders_.Read(fiber, std::string(backend->vm.address));
    for (const auto& it : MissingAt(id, Engines(), plan_.placements, state)) {
      Order(fiber, id, it);
    }
  } catch (const WeightStoreFailure& e) {
    Note("weights_not_located", id, e.what());
  } catch (const std::runtime_error& e) {
    Note("order_failed", id, e.what());
  }
}

void EngineSteward::Order(Fiber& fiber,
                          const std::string& id,
                          const Placement& placement) {
  EngineOrder order;
  order.placement = placement;
  order.sender = membership_.self().daemon;
  // Before the permit: the store may let us wait.
  if (placement.kind != PlacementKind::kRole) {
    order.location = weights_.Locate(fiber, placement.name, placement.version);
  }
  const auto* backend = directory_.Find(id);
  if (backend == nullptr) {
    return;
  }
  const bool claim = !backend->vm.checks_fencing;
  const auto permit = fence_.Acquire(fiber, id, plan_.revision, claim);
  if (!permit) {
    Note("order_not_permitted", id, PlacementName(placement));
    return;
  }
  order.fencing = permit->fencing;
  try {
    Carry(fiber, id, *permit, std::move(order));
  } catch (const OrderRefused& e) {
    Note("order_refused", id, e.what());
  }
  fence_.Release(fiber, *permit);
}

void EngineSteward::Carry(Fiber& fiber,
                          const std::string& id,
                          const OrderPermit& permit,
                          EngineOrder order) {
  const auto* backend = directory_.Find(id);
  if (backend == nullptr) {
    return;
  }
  if (permit.lease != 0) {
    // The engine would carry out whatever comes: a daemon that was frozen
    // since it asked must not send.
    const auto left = std::chrono::duration_cast<milliseconds>(
        permit.valid_until - steady_clock::now());
    if (left <= milliseconds::zero()) {
      Note("order_abandoned", id, "the claim is too old to use");
      return;
    }
    order.timeout = std::min(order.timeout, left);
  }
  const auto what = PlacementName(order.placement) + " version " +
                    std::to_string(order.placement.version) + " fencing " +
                    std::to_string(order.fencing);
  orders_.Send(fiber, std::string(backend->vm.address), order);
  Note("order_sent", id, what);
}

void EngineSteward::Note(const char* event,
                         const std::string& id,
                         const std::string& detail) {
  log_.Write({.name = event, .backend = id, .detail = detail});
}

}  // namespace comfreyfold
