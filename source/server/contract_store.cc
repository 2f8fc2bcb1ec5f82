#include "server/contract_store.h"

#include <utility>

#include "clients/base64.h"
#include "clients/contract_keys.h"
#include "core/call_error.h"

namespace comfreyfold {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kWatchIdleTimeout{3000};
constexpr milliseconds kWatchRetryDelay{1000};
constexpr milliseconds kStalenessCheckInterval{100};
constexpr milliseconds kReloadRetryDelay{100};
constexpr milliseconds kCatchUpTimeout{2000};

// `range` holds all keys under the contract prefix, from a single read, so the
// contracts and the revision of their newest change are consistent.
ContractSet ToContractSet(const KvRange& range) {
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
      poll_requested_(loop),
      revision_confirmed_(loop) {}

void ContractStore::Start(PeerFetcher fetch_from_peer,
                          const std::function<void(Fiber&)>& await_start_time) {
  fetch_from_peer_ = std::move(fetch_from_peer);
  loop_.Spawn([this](Fiber& fiber) { CheckStaleness(fiber); });
  loop_.Spawn([this](Fiber& fiber) { PollForChanges(fiber); });
  if (settings_.watch) {
    loop_.Spawn([this, await_start_time](Fiber& fiber) {
      await_start_time(fiber);
      WatchForChanges(fiber);
    });
  }
}

void ContractStore::CheckStaleness(Fiber& fiber) {
  while (true) {
    if (!current()) {
      poll_requested_.NotifyAll();
    }
    fiber.Sleep(kStalenessCheckInterval);
  }
}

void ContractStore::PollForChanges(Fiber& fiber) {
  while (true) {
    Refresh(fiber);
    const bool due = guard_.reload_due() || !table_.loaded();
    if (due) {
      fiber.Sleep(kReloadRetryDelay);
    } else {
      poll_requested_.Wait(fiber, settings_.poll_interval);
    }
  }
}

void ContractStore::WatchForChanges(Fiber& fiber) {
  while (true) {
    try {
      kv_.Watch(fiber, kContractPrefix, revision() + 1, kWatchIdleTimeout,
                [this](std::int64_t) { poll_requested_.NotifyAll(); });
    } catch (const std::runtime_error&) {
      // Polling continues while the watch is down.
    }
    fiber.Sleep(kWatchRetryDelay);
  }
}

void ContractStore::Refresh(Fiber& fiber) {
  try {
    LoadFromService(fiber);
    return;
  } catch (const std::runtime_error&) {
    // An outage of the key-value service alone does not stop serving: the
    // loaded contracts stay in force.
  }
  if (guard_.reload_due() || !table_.loaded()) {
    LoadFromPeer(fiber);
  }
}

void ContractStore::LoadFromService(Fiber& fiber) {
  const auto asked_at = steady_clock::now();
  if (table_.loaded()) {
    // Reading only the change key avoids loading every contract when none has
    // changed.
    const auto change = kv_.Get(fiber, kContractChangeKey);
    const auto newest = change ? change->mod_revision : 0;
    if (newest <= revision()) {
      guard_.Confirm(revision(), asked_at);
      revision_confirmed_.NotifyAll();
      return;
    }
  }
  ApplyContracts(ToContractSet(kv_.Prefix(fiber, kContractPrefix)), asked_at,
                 "service");
}

void ContractStore::LoadFromPeer(Fiber& fiber) {
  const auto asked_at = steady_clock::now();
  auto set = fetch_from_peer_(fiber);
  if (set) {
    ApplyContracts(std::move(*set), asked_at, "peer");
  }
}

void ContractStore::ApplyContracts(ContractSet set,
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
  revision_confirmed_.NotifyAll();
}

void ContractStore::ObserveRevision(std::int64_t newest) {
  guard_.ObserveRevision(newest, steady_clock::now());
  if (newest > revision()) {
    poll_requested_.NotifyAll();
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
  poll_requested_.NotifyAll();
  if (!revision_confirmed_.WaitUntil(fiber, kCatchUpTimeout,
                                     [this] { return current(); })) {
    throw CallError(503, "contracts_not_current",
                    "this daemon cannot verify that its contracts are up to "
                    "date; retry, or use another daemon",
                    Verdict::kNotRun, kRetryLater);
  }
}

std::shared_ptr<const Contract> ContractStore::FindByApiKey(
    const std::string& key) const {
  return table_.FindByDigest(Sha256Hex(key));
}

}  // namespace comfreyfold
