#include "storage/request_counts.h"

namespace comfreyfold {

void RequestCounts::Add(const StorageRequest& request) {
  switch (request.operation) {
    case StorageOperation::kStore:
      if (!request.turns.empty()) {
        ++turns;
      } else if (!request.program.empty()) {
        ++reservations;
      } else {
        ++settlements;
      }
      break;
    case StorageOperation::kChain:
      ++chains;
      break;
    case StorageOperation::kUses:
      ++uses;
      break;
    case StorageOperation::kAdopt:
      ++(request.members ? copies : probes);
      break;
    case StorageOperation::kStopping:
      break;
    case StorageOperation::kDigest:
    case StorageOperation::kFetch:
    case StorageOperation::kSomeUses:
      ++copies;
      break;
  }
}

}  // namespace comfreyfold
