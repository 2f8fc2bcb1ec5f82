#include "server/contract_store.h"

#include "platform/base64.h"
#include "platform/contract_keys.h"

namespace comfreyfold {

namespace {
constexpr std::chrono::milliseconds kWatchIdle{3000};
constexpr std::chrono::milliseconds kWatchRetry{1000};
}  // namespace

ContractStore::ContractStore(Loop& loop,
                             KvClient& kv,
                             EventLog& log,
                             std::chrono::milliseconds poll_interval)
    : loop_(loop),
      kv_(kv),
      log_(log),
      poll_interval_(poll_interval),
      stirred_(loop) {}

void ContractStore::Start() {
  loop_.Spawn([this](Fiber& fiber) { Poll(fiber); });
  loop_.Spawn([this](Fiber& fiber) { Follow(fiber); });
}

void ContractStore::Poll(Fiber& fiber) {
  while (true) {
    try {
      Load(fiber);
    } catch (const std::runtime_error&) {
      // An outage of the service alone does not stop serving: the
      // contracts in force stay in force.
    }
    stirred_.Wait(fiber, poll_interval_);
  }
}

void ContractStore::Follow(Fiber& fiber) {
  while (true) {
    try {
      kv_.Watch(fiber, kContractPrefix, revision_ + 1, kWatchIdle,
                [this](std::int64_t) { stirred_.NotifyAll(); });
    } catch (const std::runtime_error&) {
      // The poll goes on meanwhile.
    }
    fiber.Sleep(kWatchRetry);
  }
}

void ContractStore::Load(Fiber& fiber) {
  const auto range = kv_.Prefix(fiber, kContractPrefix);
  std::int64_t revision = 0;
  for (const auto& it : range.items) {
    if (it.key == kContractChangeKey) {
      revision = it.mod_revision;
    }
  }
  // A slow answer may arrive after a newer one: never go back.
  if (loaded_ && revision <= revision_) {
    return;
  }
  std::map<std::string, std::shared_ptr<const Contract>> by_name;
  std::map<std::string, std::shared_ptr<const Contract>> by_key;
  for (const auto& it : range.items) {
    if (it.key.rfind(kContractCustomerPrefix, 0) != 0) {
      continue;
    }
    try {
      auto contract =
          std::make_shared<const Contract>(ParseContract(it.value, it.key));
      by_key[contract->api_key_sha256] = contract;
      by_name[contract->customer] = std::move(contract);
    } catch (const IniError& e) {
      // The tool checks before it writes, so this is a newer version's
      // contract: its customer keeps what was in force.
      log_.Write({.name = "contract_unreadable", .detail = e.what()});
      const auto old =
          by_name_.find(it.key.substr(sizeof(kContractCustomerPrefix) - 1));
      if (old != by_name_.end()) {
        by_name.insert(*old);
        by_key[old->second->api_key_sha256] = old->second;
      }
    }
  }
  by_name_ = std::move(by_name);
  by_key_digest_ = std::move(by_key);
  revision_ = revision;
  loaded_ = true;
  log_.Write({.name = "contracts_in_force",
              .detail = "revision " + std::to_string(revision)});
}

std::shared_ptr<const Contract> ContractStore::FindByName(
    const std::string& name) const {
  const auto it = by_name_.find(name);
  return it == by_name_.end() ? nullptr : it->second;
}

std::shared_ptr<const Contract> ContractStore::FindByApiKey(
    const std::string& key) const {
  const auto it = by_key_digest_.find(Sha256Hex(key));
  return it == by_key_digest_.end() ? nullptr : it->second;
}

}  // namespace comfreyfold
