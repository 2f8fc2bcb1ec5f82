#include "process/spools.h"

namespace comfreyfold::process {

using harness::Cluster;

std::int64_t SpoolCount(Cluster& cluster, const char* which) {
  std::int64_t out = 0;
  for (int i = 0; i < cluster.daemons(); ++i) {
    const auto status = cluster.Status(i);
    out += status.is_object() ? status["spool"][which].get<std::int64_t>() : 0;
  }
  return out;
}

void AwaitEmptySpools(Cluster& cluster) {
  cluster.WaitFor("empty spools", [&] {
    return SpoolCount(cluster, "held") == 0 &&
           SpoolCount(cluster, "waiting") == 0;
  });
}

}  // namespace comfreyfold::process
