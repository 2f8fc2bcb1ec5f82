#ifndef BENCH_PROCESS_BENCH_RUN_H_
#define BENCH_PROCESS_BENCH_RUN_H_

#include <functional>
#include <string>

#include "harness/cluster.h"

namespace comfreyfold::bench {

// Runs `body` against a ready cluster with both contracts in force. The
// exit code of a program: 1 when an exception left `body`.
int RunWithCluster(const harness::ClusterOptions& options,
                   const std::function<void(Fiber&, harness::Cluster&)>& body);

// A contract that no measurement runs into.
std::string WideContract();

// Knows the lanes' owners, so that calls can enter elsewhere on purpose.
class LaneMap {
 public:
  explicit LaneMap(harness::Cluster& cluster);

  // The daemon that owns the program's lane.
  int OwnerOf(const std::string& program) const;

 private:
  std::map<int, int> owners_;
};

// A model turn of `tokens` whose new message has `bytes`.
HttpRequest Turn(const std::string& program,
                 const std::string& key,
                 int tokens,
                 std::size_t bytes);
// A call of the tool that the contract calls idempotent.
HttpRequest ToolUse(const std::string& program, const std::string& key);

}  // namespace comfreyfold::bench

#endif  // BENCH_PROCESS_BENCH_RUN_H_
