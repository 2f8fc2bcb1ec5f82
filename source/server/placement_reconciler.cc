#include "server/placement_reconciler.h"

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

PlacementReconciler::PlacementReconciler(Loop& loop,
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

void PlacementReconciler::Start() {
  if (!weights_.configured()) {
    return;
  }
  loop_.Spawn([this](Fiber& fiber) {
    while (true) {
      try {
        ReconcileEngines(fiber);
      } catch (const KvUnavailable&) {
        // During an outage the engines keep what they have loaded.
      }
      fiber.Sleep(interval_);
    }
  });
}

void PlacementReconciler::ReconcileEngines(Fiber& fiber) {
  if (contracts_.revision() != plan_.revision) {
    ReadPlacements(fiber);
  }
  if (plan_.placements.empty()) {
    return;
  }
  for (const auto& it : UsableEngines()) {
    if (IsAssignedHere(it) && engines_in_progress_.insert(it).second) {
      loop_.Spawn([this, it](Fiber& child) {
        ReconcileEngine(child, it);
        engines_in_progress_.erase(it);
      });
    }
  }
}

void PlacementReconciler::ReadPlacements(Fiber& fiber) {
  Plan plan;
  // The placements are read after the revision. If they are newer than the
  // revision, the fence refuses the orders until the contracts have caught up.
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

std::vector<std::string> PlacementReconciler::UsableEngines() const {
  std::vector<std::string> out;
  for (const auto& [id, backend] : directory_.all()) {
    if (backend.vm.role == VmRole::kEngine && directory_.TakesWork(id)) {
      out.push_back(id);
    }
  }
  return out;
}

bool PlacementReconciler::IsAssignedHere(const std::string& engine) const {
  const auto order = RendezvousOrder(
      "steward/" + engine, membership_.EligibleDaemons(steady_clock::now()));
  return !order.empty() && order.front() == membership_.self().daemon;
}

void PlacementReconciler::ReconcileEngine(Fiber& fiber, const std::string& id) {
  const auto* backend = directory_.Find(id);
  if (backend == nullptr) {
    return;
  }
  try {
    // The engine's own report counts, not the orders sent before: an order may
    // have been lost, or the engine may have been restarted.
    const auto state = orders_.Read(fiber, std::string(backend->vm.address));
    for (const auto& it :
         MissingPlacements(id, UsableEngines(), plan_.placements, state)) {
      SendOrder(fiber, id, it);
    }
  } catch (const WeightStoreFailure& e) {
    LogEvent("weights_not_located", id, e.what());
  } catch (const std::runtime_error& e) {
    LogEvent("order_failed", id, e.what());
  }
}

void PlacementReconciler::SendOrder(Fiber& fiber,
                                    const std::string& id,
                                    const Placement& placement) {
  EngineOrder order;
  order.placement = placement;
  order.sender = membership_.self().daemon;
  // Located before the permit is acquired, because the store may be slow and
  // the permit expires.
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
    LogEvent("order_not_permitted", id, PlacementName(placement));
    return;
  }
  order.fencing = permit->fencing;
  try {
    SendWithPermit(fiber, id, *permit, std::move(order));
  } catch (const OrderRefused& e) {
    LogEvent("order_refused", id, e.what());
  }
  fence_.Release(fiber, *permit);
}

void PlacementReconciler::SendWithPermit(Fiber& fiber,
                                         const std::string& id,
                                         const OrderPermit& permit,
                                         EngineOrder order) {
  const auto* backend = directory_.Find(id);
  if (backend == nullptr) {
    return;
  }
  if (permit.lease != 0) {
    // This engine does not check the fencing number and would execute any
    // order. A daemon that was frozen until its claim expired must not send.
    const auto left = std::chrono::duration_cast<milliseconds>(
        permit.valid_until - steady_clock::now());
    if (left <= milliseconds::zero()) {
      LogEvent("order_abandoned", id, "the claim on the engine has expired");
      return;
    }
    order.timeout = std::min(order.timeout, left);
  }
  const auto order_text = PlacementName(order.placement) + " version " +
                          std::to_string(order.placement.version) +
                          " fencing " + std::to_string(order.fencing);
  orders_.Send(fiber, std::string(backend->vm.address), order);
  LogEvent("order_sent", id, order_text);
}

void PlacementReconciler::LogEvent(const char* event,
                                   const std::string& id,
                                   const std::string& detail) {
  log_.Write({.name = event, .backend = id, .detail = detail});
}

}  // namespace comfreyfold
