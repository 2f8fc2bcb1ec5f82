#include "server/lane_count.h"

namespace comfreyfold {

namespace {
constexpr char kLaneCountKey[] = "system/lanes";

// Several may propose at once; the first one's number stands.
void Propose(Fiber& fiber, KvClient& kv, int lanes) {
  KvTxn txn;
  txn.compares.push_back(KvCompare::Absent(kLaneCountKey));
  txn.puts.push_back({kLaneCountKey, std::to_string(lanes)});
  kv.Commit(fiber, txn);
}

}  // namespace

void AgreeOnLaneCount(Fiber& fiber, KvClient& kv, int lanes) {
  // With another count a program would hash to another lane, and two daemons
  // could both believe that they own it.
  // Read first: all but the fleet's first daemon find it there.
  auto agreed = kv.Get(fiber, kLaneCountKey);
  if (!agreed) {
    Propose(fiber, kv, lanes);
    agreed = kv.Get(fiber, kLaneCountKey);
  }
  if (agreed && agreed->value != std::to_string(lanes)) {
    throw LaneCountMismatch("[lanes] count = " + std::to_string(lanes) +
                            ": the fleet has " + agreed->value +
                            " lanes; write that number");
  }
}

}  // namespace comfreyfold
