#ifndef PROCESS_SPOOLS_H_
#define PROCESS_SPOOLS_H_

#include <cstdint>

#include "harness/cluster.h"

namespace comfreyfold::process {

// Blocks outside the key-value service, by all daemons that answer: "held"
// for others on a disk, or "waiting" to be uploaded by their owners.
std::int64_t SpoolCount(harness::Cluster& cluster, const char* which);

void AwaitEmptySpools(harness::Cluster& cluster);

}  // namespace comfreyfold::process

#endif  // PROCESS_SPOOLS_H_
