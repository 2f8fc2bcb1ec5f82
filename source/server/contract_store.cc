#include "server/contract_store.h"

#include <utility>

#include "clients/base64.h"
#include "clients/contract_keys.h"
#include "core/call_error.h"

namespace comfreyfold {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kWatchIdle{3000};
constexpr milliseconds kWatchRetry{1000};
constexpr milliseconds kTickInterval{100};
constexpr milliseconds kReloadRetry{100};
constexpr milliseconds kCatchUpWait{2000};

// The contracts and the revision of their newest change, from one read.
ContractSet ToSet(const KvRange& range) {
  constexpr std::size_t kPrefixLength = sizeof(kContractCustomerPrefix) - 1;
  ContractSet out;
  for (const auto& it : range.items) {
    if (it.key == kContractChangeKey) {
      out.revision = it.mod_revision;
    } else if (it.key.rfind(kContractCustomerPrefix, 0) == 0) {
      out.contracts.push_back({it.key.substr(kPrefixLength), it.value});
    }
  }
  return out;
}

}  // namespace

ContractStore::ContractStore(Loop& loop,
                             KvClient& kv,
                             EventLog& log,
                             const ContractSettings& settings)
    : loop_(loop),
      kv_(kv),
      log_(log),
      settings_(settings),
      guard_(settings.freeze_gap, settings.grace),
      stirred_(loop),
      confirmed_(loop) {}

void ContractStore::Start(PeerHook from_peer,
                          const std::function<void(Fiber&)>& await_turn) {
  from_peer_ = std::move(from_peer);
  loop_.Spawn([this](Fiber& fiber) { Tick(fiber); });
  loop_.Spawn([this](Fiber& fiber) { Poll(fiber); });
  if (settings_.watch) {
    loop_.Spawn([this, await_turn](Fiber& fiber) {
      await_turn(fiber);
      Follow(fiber);
    });
  }
}

void ContractStore::Tick(Fiber& fiber) {
  while (true) {
    if (!current()) {
      stirred_.NotifyAll();
    }
    fiber.Sleep(kTickInterval);
  }
}

void ContractStore::Poll(Fiber& fiber) {
  while (true) {
    Refresh(fiber);
    const bool due = guard_.reload_due() || !table_.loaded();
    if (due) {
      fiber.Sleep(kReloadRetry);
    } else {
      stirred_.Wait(fiber, settings_.poll_interval);
    }
  }
}

void ContractStore::Follow(Fiber& fiber) {
  while (true) {
    try {
      kv_.Watch(fiber, kContractPrefix, revision() + 1, kWatchIdle,
                [this](std::int64_t) { stirred_.NotifyAll(); });
    } catch (const std::runtime_error&) {
      // The poll goes on meanwhile.
    }
    fiber.Sleep(kWatchRetry);
  }
}

void ContractStore::Refresh(Fiber& fiber) {
  try {
    LoadFromService(fiber);
    return;
  } catch (const std::runtime_error&) {
    // An outage of the service alone does not stop serving: the contracts
    // in force stay in force.
  }
  if (guard_.reload_due() || !table_.loaded()) {
    LoadFromPeer(fiber);
  }
}

void ContractStore::LoadFromService(Fiber& fiber) {
  const auto asked_at = steady_clock::now();
  if (table_.loaded()) {
    // One small read tells that nothing has changed.
    const auto change = kv_.Get(fiber, kContractChangeKey);
    const auto newest = change ? change->mod_revision : 0;
    if (newest <= revision()) {
      guard_.Confirm(revision(), asked_at);
      confirmed_.NotifyAll();
      return;
    }
  }
  PutInForce(ToSet(kv_.Prefix(fiber, kContractPrefix)), asked_at, "service");
}

void ContractStore::LoadFromPeer(Fiber& fiber) {
  const auto asked_at = steady_clock::now();
  auto set = from_peer_(fiber);
  if (set) {
    PutInForce(std::move(*set), asked_at, "peer");
  }
}

void ContractStore::PutInForce(ContractSet set,
                               steady_clock::time_point asked_at,
                               const char* source) {
  if (table_.Update(std::move(set))) {
    log_.Write({.name = "contracts_in_force",
                .detail = "revision " + std::to_string(revision()) + " from " +
                          source});
    for (const auto& it : table_.faults()) {
      log_.Write({.name = "contract_unreadable", .detail = it});
    }
  }
  guard_.Confirm(revision(), asked_at);
  confirmed_.NotifyAll();
}

void ContractStore::HeardOf(std::int64_t newest) {
  guard_.ObserveRevision(newest, steady_clock::now());
  if (newest > revision()) {
    stirred_.NotifyAll();
  }
}

bool ContractStore::current() {
  return guard_.Evaluate(steady_clock::now()) ==
             ContractGuard::Decision::kServe &&
         table_.loaded();
}

void ContractStore::EnsureCurrent(Fiber& fiber) {
  if (current()) {
    return;
  }
  stirred_.NotifyAll();
  if (!confirmed_.WaitUntil(fiber, kCatchUpWait,
                            [this] { return current(); })) {
    throw CallError(503, "contracts_not_current",
                    "this daemon cannot tell whether its contracts are the "
                    "newest; retry, or go through another daemon",
                    Verdict::kNotRun, kRetryLater);
  }
}

std::shared_ptr<const Contract> ContractStore::FindByApiKey(
    const std::string& key) const {
  return table_.FindByDigest(Sha256Hex(key));
}

}  // namespace comfreyfold
