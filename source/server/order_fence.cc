#include "server/order_fence.h"

#include <cstdlib>
#include <utility>

#include "clients/contract_keys.h"

namespace comfreyfold {

namespace {
constexpr char kFencePrefix[] = "placement/";
constexpr char kClaimSuffix[] = "/claim";
// Of the claim, an order may use this part; the rest allows for an answer
// of the engine that is late.
constexpr int kUsableParts = 2;
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
  const auto before = kv_.Get(fiber, key);
  out.fencing =
      (before ? std::strtoll(before->value.c_str(), nullptr, 10) : 0) + 1;
  out.valid_until =
      asked_at + std::chrono::milliseconds(claim_time_) / kUsableParts;
  KvTxn txn;
  txn.compares.push_back(
      KvCompare::Unchanged(key, before ? before->mod_revision : 0));
  // A steward that slept through a change would otherwise give its old plan
  // the newest number.
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
    // It runs out by itself.
  }
}

}  // namespace comfreyfold
