#include "server/lane_count.h"

namespace comfreyfold {

namespace {
constexpr char kLaneCountKey[] = "system/lanes";

// Writes the count unless one exists: when several daemons propose at once, the
// first one's count stands.
void ProposeLaneCount(Fiber& fiber, KvClient& kv, int lanes) {
  KvTxn txn;
  txn.compares.push_back(KvCompare::Absent(kLaneCountKey));
  txn.puts.push_back({kLaneCountKey, std::to_string(lanes)});
  kv.Commit(fiber, txn);
}

}  // namespace

void AgreeOnLaneCount(Fiber& fiber, KvClient& kv, int lanes) {
  // The counts must agree: with another count, a program would hash to another
  // lane, and two daemons could both believe that they own it.
  // The key is read first because it exists for all but the fleet's first
  // daemon.
  auto agreed = kv.Get(fiber, kLaneCountKey);
  if (!agreed) {
    ProposeLaneCount(fiber, kv, lanes);
    agreed = kv.Get(fiber, kLaneCountKey);
  }
  if (agreed && agreed->value != std::to_string(lanes)) {
    throw LaneCountMismatch("[lanes] count = " + std::to_string(lanes) +
                            ": the fleet has " + agreed->value +
                            " lanes; set the count to that number");
  }
}

}  // namespace comfreyfold
