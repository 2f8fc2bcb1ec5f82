#include "server/order_fence.h"

#include <cstdlib>
#include <utility>

#include "clients/contract_keys.h"

namespace comfreyfold {

namespace {
constexpr char kFencePrefix[] = "placement/";
constexpr char kClaimSuffix[] = "/claim";
// An order may use half of the claim's time; the other half is a margin for a
// late answer of the engine.
constexpr int kClaimTimeDivisor = 2;
}  // namespace

std::optional<OrderPermit> OrderFence::Acquire(Fiber& fiber,
                                               const std::string& engine,
                                               std::int64_t revision,
                                               bool claim) {
  const auto asked_at = std::chrono::steady_clock::now();
  const auto key = kFencePrefix + engine;
  OrderPermit out;
  if (claim) {
    out.lease = kv_.GrantLease(fiber, claim_time_);
  }
  const auto current = kv_.Get(fiber, key);
  out.fencing =
      (current ? std::strtoll(current->value.c_str(), nullptr, 10) : 0) + 1;
  out.valid_until =
      asked_at + std::chrono::milliseconds(claim_time_) / kClaimTimeDivisor;
  KvTxn txn;
  txn.compares.push_back(
      KvCompare::Unchanged(key, current ? current->mod_revision : 0));
  // Otherwise, a daemon that was paused during a contract change would get the
  // newest number for its outdated plan.
  txn.compares.push_back(KvCompare::Unchanged(kContractChangeKey, revision));
  txn.puts.push_back({key, std::to_string(out.fencing)});
  if (claim) {
    txn.compares.push_back(KvCompare::Absent(key + kClaimSuffix));
    txn.puts.push_back({key + kClaimSuffix, daemon_, out.lease});
  }
  if (kv_.Commit(fiber, txn).succeeded) {
    return out;
  }
  Release(fiber, out);
  return std::nullopt;
}

void OrderFence::Release(Fiber& fiber, const OrderPermit& permit) {
  if (permit.lease == 0) {
    return;
  }
  try {
    kv_.RevokeLease(fiber, permit.lease);
  } catch (const KvUnavailable&) {
    // The lease expires by itself.
  }
}

}  // namespace comfreyfold
